#include "transport/peer_exchange.hpp"

#include "transport/async_signal.hpp"
#include "transport/attempt_recorder.hpp"
#include "transport/evacuation_recorder.hpp"
#include "transport/log.hpp"

#include <algorithm>

namespace auburnweir::transport
{

namespace
{

/// Number of report periods from one report with details to the next.
constexpr std::uint64_t detailed_report_interval = 3;

/// Newest windows whose usage reports carry to a holder that knows the older ones.
constexpr std::size_t recent_usage_windows = 4;

/// Report period while a quota runs low or a crash of a server is to be reported.
constexpr state::duration urgent_report_period = std::chrono::milliseconds{100};

/// Silence of the holder, in report periods, after which the link to it is closed.
constexpr int max_silent_periods = 5;

/// Time beyond a report period in which the next report response arrives, also between regions.
constexpr state::duration delivery_margin = std::chrono::milliseconds{100};

/// Share of the retry slack that is divided among the known instances; the rest is for instances
/// that are not known yet.
constexpr double divided_slack_share = 0.8;

/// Time for which the last division of servers' limits by traffic holds.
constexpr state::duration traffic_validity = std::chrono::seconds{5};

/// Silence after which an instance is removed; until then its share of the limits stays reserved.
constexpr state::duration silent_instance_expiry = std::chrono::seconds{15};

/// The same for an instance that reported that it stops.
constexpr state::duration stopped_instance_expiry = std::chrono::seconds{3};

/// Maximum number of reports that wait for their response; older ones are dropped.
constexpr std::size_t max_pending_reports = 32;

/// Time in which instances that start together have written their rows.
constexpr state::duration startup_registration_time = std::chrono::seconds{2};

/// Time in which the instances find a new holder; until then it knows some of them only. Ranks
/// among few instances would give each of them a large part of what cold servers tolerate.
constexpr state::duration min_rank_settle_time = std::chrono::seconds{2};

/// Whether ranks have a use: without cold servers no instance is told its rank.
bool has_cold_services(gateway_tables const& tables)
{
    auto const routes = tables.routes.current();
    return routes && std::ranges::any_of(
                         routes->services(),
                         [](state::routed_service const& s) { return s.cold_per_second > 0; });
}

} // namespace

peer_exchange::peer_exchange(gateway_context& context, peer_links& links, directory_sync& directory)
    : context_(context)
    , links_(links)
    , directory_(directory)
    , registry_(context)
    , relays_(context)
{
}

void peer_exchange::start()
{
    net::co_spawn(context_.workers.at(0).io(), register_and_count_instances(), net::detached);
    subscriptions_.push_back(
        context_.timers.every(context_.settings.report_period, [this] { tick(); }));
    subscriptions_.push_back(
        context_.timers.every(urgent_report_period, [this] { report_if_urgent(); }));
}

net::awaitable<void> peer_exchange::register_and_count_instances()
{
    co_await registry_.register_instance();
    // Rows of an earlier start give the number of instances at once. At the first start the other
    // instances need time to write theirs, unless a holder has counted them meanwhile.
    for (auto const pause : {state::duration::zero(), startup_registration_time})
    {
        co_await sleep_for(context_.workers.at(0).io(), pause);
        bool const needs_rank = rank().count == 0 && has_cold_services(context_.tables);
        if (holder_rows() && !(needs_rank && pause > state::duration::zero()))
            continue;
        auto const registered = co_await registry_.rank_among_instances();
        // At the first start the first reading finds a part of the instances only.
        if (pause > state::duration::zero() && rank().count == 0)
            apply_rank(registered, "instance_rows");
        if (holder_rows())
            co_return;
        std::uint64_t known = 0;
        {
            std::lock_guard lock(mutex_);
            known_instances_ = std::max(known_instances_, registered.count);
            known = holder_.id.empty() ? known_instances_ : 0;
        }
        if (known > 0)
            apply_shares(1, known, state::duration::zero());
    }
}

state::duration peer_exchange::response_validity() const
{
    return context_.settings.report_period + delivery_margin;
}

void peer_exchange::follow(state::instance_id holder, state::endpoint address)
{
    std::lock_guard lock(mutex_);
    bool const changed = holder_.id != holder || holder_.peer_address != address;
    if (!changed)
        return;
    holder_ = {};
    holder_.id = std::move(holder);
    holder_.peer_address = std::move(address);
    holder_has_lease_ = true;
    holder_rows_.reset();
    last_response_at_ = now();
}

void peer_exchange::serve_as_holder()
{
    context_.tables.instance_reports.clear();
    context_.tables.quotas.become_holder(now());
    std::lock_guard lock(mutex_);
    holder_ = {};
    holder_.id = context_.settings.id;
    holder_rows_.reset();
    holder_has_lease_ = true;
    instances_before_takeover_ = known_instances_;
    holder_since_ = now();
    ranks_are_settled_ = false;
}

void peer_exchange::step_down()
{
    std::lock_guard lock(mutex_);
    holder_has_lease_ = false;
}

void peer_exchange::clear_holder()
{
    std::lock_guard lock(mutex_);
    holder_ = {};
    holder_rows_.reset();
    holder_has_lease_ = false;
}

bool peer_exchange::needs_holder(state::duration max_silence) const
{
    std::lock_guard lock(mutex_);
    if (holder_.id.empty() || !holder_has_lease_)
        return true;
    return holder_.id != context_.settings.id && now() - last_response_at_ > max_silence;
}

state::instance_id peer_exchange::holder() const
{
    std::lock_guard lock(mutex_);
    return holder_.id;
}

state::duration peer_exchange::holder_silence() const
{
    std::lock_guard lock(mutex_);
    return now() - last_response_at_;
}

std::optional<state::operator_rows_status> peer_exchange::holder_rows() const
{
    std::lock_guard lock(mutex_);
    auto const silence = now() - last_response_at_;
    if (!holder_rows_ || silence > max_silent_periods * context_.settings.report_period)
        return std::nullopt;
    auto status = *holder_rows_;
    status.age += silence;
    return status;
}

bool peer_exchange::has_heard_of_holder() const
{
    std::lock_guard lock(mutex_);
    return holder_rows_.has_value() || holder_.id == context_.settings.id;
}

std::uint64_t peer_exchange::instance_count() const
{
    std::lock_guard lock(mutex_);
    return known_instances_;
}

state::instance_rank peer_exchange::rank() const
{
    std::lock_guard lock(rank_mutex_);
    return rank_;
}

void peer_exchange::apply_rank(state::instance_rank rank, std::string_view source)
{
    std::lock_guard lock(rank_mutex_);
    if (rank.count == 0 || rank == rank_)
        return;
    rank_ = rank;
    context_.tables.servers.set_rank(rank, now());
    log(log_event::instance_ranked, {{"rank", std::to_string(rank.rank)},
                                     {"instances", std::to_string(rank.count)},
                                     {"source", std::string{source}}});
}

void peer_exchange::tick()
{
    state::instance holder;
    std::uint64_t known = 0;
    {
        std::lock_guard lock(mutex_);
        holder = holder_;
        known = known_instances_;
    }
    ++report_periods_;
    links_.close_unauthenticated(now());
    registry_.renew_registration();
    if (auto const routes = context_.tables.routes.current())
        context_.tables.quotas.apply_limits(routes->organisations(), now());
    state::server_observations seen;
    if (report_periods_ % detailed_report_interval == 0)
        seen = observe_servers();
    bool const is_own = holder.id == context_.settings.id;
    if (is_own || holder.id.empty())
        record_verdict_changes(context_, context_.tables.segment_quarantine.decide(now()));
    if (is_own)
        return tick_as_holder();
    if (!holder.id.empty())
        tick_as_follower(holder, std::move(seen));
    else if (known > 0)
        apply_shares(1, known, state::duration::zero());
}

void peer_exchange::apply_shares(
    std::uint64_t live_count, std::uint64_t instance_count, state::duration validity)
{
    auto const all = static_cast<double>(std::max<std::uint64_t>(instance_count, 1));
    auto const time = now();
    context_.tables.quotas.update_shares(
        static_cast<double>(live_count) / all, time + validity, 1 / all, time);
    context_.tables.retry_budget.set_slack(
        divided_slack_share * context_.settings.repeat_slack / all);
    {
        std::lock_guard lock(mutex_);
        if (time < traffic_known_until_)
            return;
    }
    context_.tables.servers.set_send_shares(coordination::equal_send_shares(instance_count));
}

std::optional<std::uint64_t> peer_exchange::requests_to_report() const
{
    if (!context_.tables.servers.has_limits())
        return std::nullopt;
    return context_.tables.counters.events().value(state::event_counter::requests_accepted);
}

void peer_exchange::apply_traffic(std::optional<state::traffic_shares> const& traffic)
{
    if (!traffic)
        return;
    context_.tables.servers.set_send_shares(
        coordination::send_shares_from(*traffic, context_.settings.failure_domain));
    std::lock_guard lock(mutex_);
    traffic_known_until_ = now() + traffic_validity;
}

void peer_exchange::share_limits_as_holder()
{
    auto const requests = requests_to_report();
    if (!requests || report_periods_ % detailed_report_interval != 0)
        return;
    auto& shares = context_.tables.request_shares;
    auto const& own = context_.settings;
    shares.record({own.id, context_.incarnation}, own.failure_domain, *requests, now());
    apply_traffic(shares.shares_of(own.id, now()));
}

void peer_exchange::tick_as_holder()
{
    auto const time = now();
    auto& reports = context_.tables.instance_reports;
    for (auto const& expired :
         reports.expire(time, silent_instance_expiry, stopped_instance_expiry))
        log(log_event::instance_gone, {{"instance", expired.str()}});
    auto const members = reports.all();
    std::vector<std::chrono::milliseconds> wall_offsets;
    if (auto const own = context_.clock.own_offset())
        wall_offsets.push_back(*own);
    std::size_t live = 1;
    for (auto const& member : members)
    {
        if (time - member.last_report_at > response_validity() + context_.settings.report_period)
            continue;
        // An isolated instance uses its local share of the limits. It does not count as live, so
        // that the others do not use that share.
        if (!member.report.isolated)
            ++live;
        if (member.details.wall_offset.count() != 0)
            wall_offsets.push_back(member.details.wall_offset);
    }
    context_.clock.apply_agreed_offset(coordination::agreed_offset(std::move(wall_offsets)));
    std::uint64_t known = members.size() + 1;
    bool gives_ranks = false;
    {
        std::lock_guard lock(mutex_);
        auto const held_for = time - holder_since_;
        ranks_are_settled_ =
            ranks_are_settled_ || held_for >= silent_instance_expiry ||
            (held_for >= min_rank_settle_time && known >= instances_before_takeover_);
        gives_ranks = ranks_are_settled_ && holder_has_lease_;
        // Instances that have not found this holder yet still use their share.
        if (time - holder_since_ < silent_instance_expiry)
            known = std::max(known, instances_before_takeover_);
        known_instances_ = known;
        live_instances_ = live;
    }
    if (gives_ranks && has_cold_services(context_.tables))
        apply_rank(reports.rank_of(context_.settings.id, context_.settings.id), "own_reports");
    share_limits_as_holder();
    rate_servers_as_holder();
    relays_.update_as_holder(members, response_validity() + context_.settings.report_period);
    apply_shares(live, known, silent_instance_expiry);
}

state::server_observations peer_exchange::observe_servers()
{
    auto& tables = context_.tables;
    tables.server_observations.set_rated_services(tables.services_with_uneven_placement());
    auto seen = tables.server_observations.take(now());
    tables.server_ratings.retain(tables.servers.incarnations());
    tables.server_ratings.merge(seen, now());
    tables.servers.apply_own_ratings(tables.server_ratings.all(now()), now());
    return seen;
}

void peer_exchange::rate_servers_as_holder()
{
    if (report_periods_ % detailed_report_interval != 0)
        return;
    auto const time = now();
    context_.tables.servers.apply_ratings(context_.tables.server_ratings.all(time), time);
}

void peer_exchange::tick_as_follower(state::instance const& holder, state::server_observations seen)
{
    auto const max_silence = max_silent_periods * context_.settings.report_period;
    if (holder_silence() > max_silence && links_.age(holder.id, now()) > max_silence)
        links_.close_link(holder.id);
    auto content = report_content::quotas_only;
    if (report_periods_ % detailed_report_interval == 0)
        content = report_content::recent_usage;
    if (std::exchange(reported_to_, holder.id) != holder.id)
        content = report_content::all_usage;
    links_.send(holder, make_report(content, std::move(seen)));
}

void peer_exchange::report_if_urgent()
{
    state::instance holder;
    {
        std::lock_guard lock(mutex_);
        holder = holder_;
    }
    bool const follows_other = !holder.id.empty() && holder.id != context_.settings.id;
    bool const is_urgent = context_.tables.quotas.report_is_urgent() ||
                           context_.tables.segment_quarantine.report_is_urgent() ||
                           relays_.has_unreported_change();
    if (follows_other && is_urgent)
        links_.send(holder, make_report(report_content::quotas_only));
}

state::instance_report peer_exchange::make_report(
    report_content content, state::server_observations seen)
{
    state::instance_report report;
    report.id = context_.settings.id;
    report.incarnation = context_.incarnation;
    report.failure_domain = context_.settings.failure_domain;
    report.peer_address = context_.settings.peer_listen;
    report.sequence = ++sequence_;
    report.stopping = context_.phase != stop_phase::running;
    {
        std::lock_guard lock(mutex_);
        if (directory_source_.id == holder_.id)
            report.directory = directory_version_;
        report.directory_holder = directory_source_.incarnation;
        bool const has_ratings = content != report_content::quotas_only &&
                                 rating_source_.id == holder_.id &&
                                 rating_source_.incarnation == directory_source_.incarnation;
        if (has_ratings)
            report.ratings = rating_version_;
        pending_reports_.push_back({report.sequence, now()});
        if (pending_reports_.size() > max_pending_reports)
            pending_reports_.pop_front();
    }
    relays_.add_to(report);
    report.digest = context_.tables.directory_log.digest();
    report.acknowledged = context_.tables.acknowledged.current();
    report.isolated = context_.tables.quotas.is_isolated(now());
    report.uses = context_.tables.quotas.begin_report(report.sequence, now());
    report.segments = context_.tables.segment_quarantine.begin_report(
        report.sequence, content == report_content::all_usage, now());
    if (content == report_content::quotas_only)
        return report;
    auto& details = report.details.emplace();
    details.wall_offset = context_.clock.own_offset().value_or(std::chrono::milliseconds{0});
    details.usage_complete_until = context_.clock.true_time().time_since_epoch();
    details.usage = context_.tables.usage.newest_of(
        {report.id, report.incarnation}, content == report_content::all_usage
                                             ? gateway_tables::max_usage_windows
                                             : recent_usage_windows);
    details.requests = requests_to_report();
    report.observations = std::move(seen);
    return report;
}

void peer_exchange::receive(connection_number via, protocol::peer_message message)
{
    if (auto* report = std::get_if<state::instance_report>(&message))
        handle_report(via, std::move(*report));
    else if (auto const* response = std::get_if<state::report_response>(&message))
        handle_report_response(*response);
}

void peer_exchange::handle_report(connection_number via, state::instance_report report)
{
    if (!is_holder())
        return;
    state::instance_incarnation const writer{report.id, report.incarnation};
    context_.tables.quotas.charge(writer, report.uses, now());
    record_verdict_changes(
        context_, context_.tables.segment_quarantine.merge(report.segments, now()));
    if (report.details)
        context_.tables.usage.merge(writer, report.details->usage);
    if (report.details && report.details->requests)
        context_.tables.request_shares.record(
            writer, report.failure_domain, *report.details->requests, now());
    context_.tables.server_ratings.merge(report.observations, now());
    if (context_.tables.instance_reports.apply(report, now()))
        log(log_event::instance_appeared,
            {{"instance", writer.id.str()}, {"life", std::to_string(writer.incarnation.count())}});
    context_.tables.acknowledged.merge(report.acknowledged);
    links_.reply(via, response_to(report));
}

state::report_response peer_exchange::response_to(state::instance_report const& report)
{
    state::report_response response;
    response.holder = {context_.settings.id, context_.incarnation};
    response.sequence = report.sequence;
    response.levels = context_.tables.quotas.issue_levels(now());
    response.wall_offset = context_.clock.agreed_offset();
    response.segments = context_.tables.segment_quarantine.response_to(report.segments, now());
    if (report.details && report.details->requests)
        response.shares = context_.tables.request_shares.shares_of(report.id, now());
    add_directory(response, report);
    response.evacuated = context_.tables.evacuations.current();
    if (report.details)
        add_ratings(response, report);
    if (context_.tables.routes.current())
        response.operator_rows = {
            context_.tables.routes.newest(), context_.tables.routes.age(now()),
            context_.tables.acknowledged.current()};
    response.relays = relays_.relays_for(report);
    state::instance_rank rank;
    if (has_cold_services(context_.tables))
        rank = context_.tables.instance_reports.rank_of(report.id, context_.settings.id);
    std::lock_guard lock(mutex_);
    if (ranks_are_settled_ && holder_has_lease_)
        response.rank = rank;
    response.holds_lease = holder_has_lease_;
    response.instance_count = known_instances_;
    response.live_instance_count = live_instances_;
    return response;
}

void peer_exchange::add_directory(
    state::report_response& response, state::instance_report const& report)
{
    auto const& log = context_.tables.directory_log;
    bool const has_own_version = report.directory_holder == context_.incarnation;
    auto const acknowledged = has_own_version ? report.directory : state::directory_version{0};
    if (!directory_updates_.may_send(report.id, acknowledged, now()))
        return;
    // An instance that has its directory from the store or from an earlier holder usually has the
    // same content as one of the latest versions here.
    auto base = log.version_with(report.digest);
    if (has_own_version)
        base = acknowledged;
    std::optional<state::directory_update> update;
    if (base)
        update = log.changes_since(*base, now());
    if (!update)
        update = log.full_copy(now());
    if (!update)
        return;
    auto const servers = update->listed.size() + update->removed.size();
    bool const is_copy = servers > 0 && update->listed.size() >= log.server_count();
    response.directory_withheld = !directory_updates_.try_send(servers, is_copy, now());
    if (response.directory_withheld)
        return;
    if (servers > 0)
        directory_updates_.record_sent(report.id, update->version, now());
    response.directory = std::move(update);
}

void peer_exchange::add_ratings(
    state::report_response& response, state::instance_report const& report)
{
    using coordination::server_rating_table;
    auto& ratings = context_.tables.server_ratings;
    if (ratings.size() == 0)
        return;
    bool const has_own_version = report.directory_holder == context_.incarnation;
    auto const base = has_own_version ? report.ratings : state::rating_version{};
    response.ratings = ratings.changes_since(base, server_rating_table::max_per_response, now());
}

void peer_exchange::apply_rating_update(
    state::instance_incarnation const& source, state::rating_update const& update)
{
    auto const time = now();
    state::time_point since{};
    {
        std::lock_guard lock(mutex_);
        bool const is_new_source =
            rating_source_.id != source.id || rating_source_.incarnation != source.incarnation;
        if (is_new_source)
        {
            rating_source_ = source;
            ratings_since_ = time;
        }
        rating_version_ = update.version;
        since = ratings_since_;
    }
    auto& servers = context_.tables.servers;
    servers.confirm_ratings(since, time);
    servers.apply_ratings(update.changed, time);
}

void peer_exchange::confirm_configuration(
    state::operator_rows_status const& holder_rows, state::time_point reported_at)
{
    // The holder created the response after the report was sent, so its confirmation is at least
    // this recent.
    auto const active = context_.tables.routes.current();
    bool const lacks_configuration =
        !active || active->version() < context_.tables.acknowledged.current().configuration;
    if (holder_rows.newest <= context_.tables.routes.newest() && !lacks_configuration)
        context_.tables.routes.confirm(reported_at - holder_rows.age);
}

void peer_exchange::apply_directory_update(
    state::instance_incarnation const& source, state::directory_update const& update,
    state::time_point reported_at)
{
    // The holder created the response after the report was sent, so it has read the directory at
    // this time or later.
    if (!directory_.apply_update(update, reported_at - update.age))
        return;
    std::lock_guard lock(mutex_);
    directory_source_ = source;
    directory_version_ = update.version;
}

void peer_exchange::handle_report_response(state::report_response const& response)
{
    if (response.holder.id != holder())
        return;
    // Before the response counts as heard: an instance that has started on an older copy of the
    // store's rows waits for it.
    if (response.evacuated)
        record_evacuations(
            context_, context_.tables.evacuations.apply(*response.evacuated, now()), "holder");
    std::optional<state::time_point> reported_at;
    {
        std::lock_guard lock(mutex_);
        if (response.holder.id != holder_.id)
            return;
        last_response_at_ = now();
        holder_has_lease_ = response.holds_lease;
        known_instances_ = response.instance_count;
        holder_rows_ = response.operator_rows;
        auto const pending = std::find_if(
            pending_reports_.begin(), pending_reports_.end(),
            [&](pending_report const& report) { return report.sequence == response.sequence; });
        if (pending != pending_reports_.end())
            reported_at = pending->at;
    }
    if (response.directory_withheld)
        directory_.discard_holder_update();
    if (response.directory && reported_at)
        apply_directory_update(response.holder, *response.directory, *reported_at);
    if (response.operator_rows)
        context_.tables.acknowledged.merge(response.operator_rows->acknowledged);
    if (response.operator_rows && reported_at)
        confirm_configuration(*response.operator_rows, *reported_at);
    context_.clock.apply_agreed_offset(response.wall_offset);
    if (reported_at)
        apply_rank(response.rank, "holder");
    apply_traffic(response.shares);
    // A response to a report before the services were lost names none.
    if (!response.relays.empty())
        context_.tables.relays.assign(response.relays);
    if (response.ratings)
        apply_rating_update(response.holder, *response.ratings);
    // Reports are more frequent while a quota runs low, so a response is valid for a shorter time.
    bool const low = context_.tables.quotas.report_is_urgent();
    apply_shares(
        response.live_instance_count, response.instance_count,
        low ? urgent_report_period + 2 * delivery_margin : response_validity());
    context_.tables.quotas.apply_levels(response.levels, response.sequence, now());
    record_verdict_changes(
        context_,
        context_.tables.segment_quarantine.apply(response.segments, response.sequence, now()));
}

} // namespace auburnweir::transport
