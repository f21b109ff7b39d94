#include "transport/platform_watch.hpp"

#include "transport/clock.hpp"
#include "transport/log.hpp"

#include <cmath>

namespace auburnweir::transport
{

namespace
{

/// Number of instances up to which each polls at the full rate. In larger deployments each polls
/// less often, and leaving marks spread by gossip.
constexpr std::size_t instances_at_full_rate = 16;
constexpr double admission_overcommit = 1.25;
constexpr std::int64_t min_capacity = 4;

} // namespace

platform_watch::platform_watch(
    entry_context& context, std::function<void(state::duration)> on_own_notice)
    : context_(context)
    , worker_(context.workers.at(0))
    , on_own_notice_(std::move(on_own_notice))
{
}

void platform_watch::poll()
{
    auto const instances = context_.tables.instances.live().size();
    auto const polls_to_skip = static_cast<int>(instances / instances_at_full_rate);
    if (++skipped_polls_ <= polls_to_skip || poll_in_progress_)
        return;
    skipped_polls_ = 0;
    poll_in_progress_ = true;
    net::co_spawn(worker_.io(), read_platform_state(), net::detached);
}

net::awaitable<void> platform_watch::read_platform_state()
{
    auto platform = context_.platform(worker_);
    auto const list = co_await platform.read_instances(revision_);
    record_reachability(list.has_value());
    if (list && list->revision > revision_)
    {
        revision_ = list->revision;
        apply_instances(list->instances);
    }
    auto const notices = co_await platform.read_notices();
    if (notices)
        for (auto const& notice : *notices)
            apply_notice(notice);
    resize_admission();
    poll_in_progress_ = false;
}

void platform_watch::record_reachability(bool reachable)
{
    if (reachable == reachable_)
        return;
    reachable_ = reachable;
    log(reachable ? log_event::platform_reachable : log_event::platform_unreachable);
}

void platform_watch::apply_instances(std::vector<state::instance> const& list)
{
    auto const changes = context_.tables.instances.apply(list);
    for (auto const& i : changes.appeared)
        log(log_event::instance_appeared, {{"instance", i.id.str()}});
    for (auto const& i : changes.gone)
        log(log_event::instance_gone, {{"instance", i.id.str()}});
    for (auto const& i : changes.leaving)
        log(log_event::instance_leaving, {{"instance", i.id.str()}});
}

void platform_watch::apply_notice(protocol::reclaim_notice const& notice)
{
    if (notice.subject == context_.self.id.str())
    {
        if (!std::exchange(own_notice_received_, true))
            on_own_notice_(notice.time_left);
        return;
    }
    context_.mark_leaving(state::backend_id{notice.subject}, notice.time_left, worker_.random());
    state::instance_id const instance{notice.subject};
    if (context_.tables.instances.mark_leaving(instance))
        log(log_event::instance_leaving, {{"instance", instance.str()}});
}

void platform_watch::resize_admission()
{
    auto const config = context_.tables.configuration.current();
    auto const entry_count = std::max<std::size_t>(context_.tables.instances.live().size(), 1);
    for (auto const& [id, service] : config->services())
    {
        std::int64_t slots = 0;
        for (auto const& backend : context_.tables.backends.routable(id, now()))
            slots += backend.concurrency;
        auto const share =
            admission_overcommit * static_cast<double>(slots) / static_cast<double>(entry_count);
        auto const capacity = std::max(min_capacity, static_cast<std::int64_t>(std::ceil(share)));
        context_.tables.admission.resize(id, capacity, service.queue_limit);
    }
    context_.tables.admission.expire();
}

} // namespace auburnweir::transport
