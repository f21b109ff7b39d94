#include "transport/peer_exchange.hpp"

#include "protocol/duty_record_codec.hpp"
#include "transport/async_signal.hpp"
#include "transport/log.hpp"

#include <algorithm>

namespace auburnweir::transport
{

namespace
{

/// Each so many reports carry the details.
constexpr std::uint64_t details_interval = 3;

/// Silence after which an instance does not count as live, in report periods.
constexpr int silent_periods = 5;

/// Silence after which an instance is forgotten; until then its part of shared limits is kept free.
constexpr state::duration forget_after = std::chrono::seconds{15};

/// The same for one that said that it stops.
constexpr state::duration forget_stopped_after = std::chrono::seconds{3};

/// A link whose reports are not acknowledged for so long is opened anew.
constexpr state::duration longest_unacknowledged = std::chrono::milliseconds{2500};

/// Table of the store and prefix of the rows that name instances.
constexpr char const* instance_table_name = "auburnweir-instances";

constexpr state::duration pause_after_fault = std::chrono::milliseconds{300};

} // namespace

peer_exchange::peer_exchange(gateway_context& context, peer_links& links)
    : context_(context)
    , links_(links)
{
}

void peer_exchange::start()
{
    net::co_spawn(context_.workers.at(0).io(), introduce(), net::detached);
    subscriptions_.push_back(
        context_.timers.every(context_.settings.report_period, [this] { tick(); }));
}

net::awaitable<void> peer_exchange::introduce()
{
    auto& store = context_.ports.store;
    auto const limit = context_.settings.store_timeout;
    auto& io = context_.workers.at(0).io();
    conditional_write own;
    own.table = table_name{instance_table_name};
    own.key = context_.settings.id.str();
    own.value = protocol::encode_instance_address(context_.settings.peer_listen);
    bool written = false;
    for (;;)
    {
        if (!written)
        {
            auto const result = co_await store.write(own, limit);
            written = std::holds_alternative<write_taken>(result);
        }
        if (written)
        {
            auto const listing = co_await store.read_table(own.table, limit);
            if (listing)
            {
                for (auto const& row : listing.value().rows)
                {
                    auto const address = protocol::decode_instance_address(row.value);
                    if (address && row.key != own.key)
                        context_.tables.reports.introduce(
                            state::instance_id{row.key}, *address, now());
                }
                co_return;
            }
        }
        co_await sleep_for(io, pause_after_fault);
    }
}

bool peer_exchange::is_live(state::known_instance const& peer) const
{
    if (!peer.heard_at)
        return false;
    return now() - *peer.heard_at <= silent_periods * context_.settings.report_period;
}

void peer_exchange::tick()
{
    auto const time = now();
    for (auto const& gone :
         context_.tables.reports.expire(time, forget_after, forget_stopped_after))
        log(log_event::instance_gone, {{"instance", gone.str()}});
    auto const peers = context_.tables.reports.all();
    std::size_t seen = 1;
    std::vector<std::chrono::milliseconds> opinions;
    if (auto const own = context_.clock.own_offset())
        opinions.push_back(*own);
    for (auto const& peer : peers)
    {
        if (!is_live(peer))
            continue;
        ++seen;
        if (peer.details.wall_offset.count() != 0)
            opinions.push_back(peer.details.wall_offset);
    }
    context_.clock.agree(std::move(opinions));
    context_.tables.quotas.see(static_cast<double>(seen) / static_cast<double>(peers.size() + 1));
    ++sequence_;
    auto const report = own_report(sequence_ % details_interval == 0);
    for (auto const& peer : peers)
        send_to(peer, report);
    links_.sweep(time);
}

state::instance_report peer_exchange::own_report(bool with_details)
{
    state::instance_report report;
    report.id = context_.settings.id;
    report.life = context_.life;
    report.failure_domain = context_.settings.failure_domain;
    report.peer_address = context_.settings.peer_listen;
    report.sequence = sequence_;
    report.stopping = context_.phase != stop_phase::running;
    report.holds_duties = holds_duties_;
    report.consumed = context_.tables.quotas.consumed();
    if (!with_details)
        return report;
    auto& details = report.details.emplace();
    details.wall_offset = context_.clock.own_offset().value_or(std::chrono::milliseconds{0});
    details.counted_until = context_.clock.true_time().time_since_epoch();
    details.usage = context_.tables.usage.of({report.id, report.life});
    details.loads = context_.tables.loads.loads();
    return report;
}

void peer_exchange::send_to(state::known_instance const& peer, state::instance_report report)
{
    auto const quiet_since = peer.acknowledged_at.value_or(peer.known_since);
    bool const stuck = now() - quiet_since > longest_unacknowledged;
    if (stuck && links_.age(peer.id, now()) > longest_unacknowledged)
        links_.drop(peer.id);
    report.heard = peer.report.sequence;
    state::instance to;
    to.id = peer.id;
    to.peer_address = peer.peer_address;
    links_.send(to, std::move(report));
}

void peer_exchange::receive(protocol::peer_message message)
{
    auto* report = std::get_if<state::instance_report>(&message);
    if (!report || report->id == context_.settings.id)
        return;
    state::usage_writer const writer{report->id, report->life};
    context_.tables.quotas.apply(writer, report->consumed);
    if (report->details)
        context_.tables.usage.merge(writer, report->details->usage);
    if (context_.tables.reports.apply(std::move(*report), now()))
        log(log_event::instance_appeared,
            {{"instance", writer.id.str()}, {"life", std::to_string(writer.life.count())}});
}

bool peer_exchange::others_hold_duties() const
{
    auto const peers = context_.tables.reports.all();
    return std::any_of(
        peers.begin(), peers.end(),
        [&](auto const& peer) { return peer.report.holds_duties && is_live(peer); });
}

std::size_t peer_exchange::live() const
{
    auto const peers = context_.tables.reports.all();
    return 1 + static_cast<std::size_t>(std::count_if(
                   peers.begin(), peers.end(), [&](auto const& p) { return is_live(p); }));
}

std::size_t peer_exchange::rank() const
{
    auto const peers = context_.tables.reports.all();
    return static_cast<std::size_t>(std::count_if(
        peers.begin(), peers.end(),
        [&](auto const& p) { return is_live(p) && p.id < context_.settings.id; }));
}

} // namespace auburnweir::transport
