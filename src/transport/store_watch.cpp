#include "transport/store_watch.hpp"

#include "coordination/cold_shares.hpp"
#include "coordination/store_pacing.hpp"
#include "transport/async_signal.hpp"
#include "transport/evacuation_recorder.hpp"
#include "transport/log.hpp"

#include <algorithm>
#include <utility>

namespace auburnweir::transport
{

namespace
{

/// Delay after the first failed call to the store.
constexpr state::duration min_retry_delay = std::chrono::milliseconds{150};

/// Range of the delay to which the delays grow, by the number of instances. Short compared with the
/// bounds of freshness.
constexpr state::duration shortest_max_retry_delay = std::chrono::milliseconds{600};
constexpr state::duration longest_max_retry_delay = std::chrono::milliseconds{1500};

/// Reads of the directory within the time in which a leaving server must get no more requests.
constexpr int directory_reads_per_drain_bound = 3;

/// The holder confirms at this share of the age at which the followers do, so that its report
/// responses reach them before they ask the store.
constexpr double holder_age_share = 0.6;

/// Time in which an instance that has started hears from the others which configuration the store
/// has acknowledged. When no other is left, operators have written a lost one again by then.
constexpr state::duration peer_wait = std::chrono::seconds{4};

/// Time after which operators that have not written a lost configuration again are taken to leave
/// it at what the store lists.
constexpr state::duration rewrite_timeout = std::chrono::seconds{30};

/// Interval between checks of the configuration's age and of the holder's directory updates.
constexpr state::duration check_interval = std::chrono::milliseconds{200};

/// Exponential backoff while calls fail.
class retry_backoff
{
public:
    bool active() const { return next_ != min_retry_delay; }

    state::duration next(state::duration max_delay)
    {
        return std::exchange(next_, std::min(2 * next_, max_delay));
    }

private:
    state::duration next_ = min_retry_delay;
};

std::string milliseconds_text(state::duration d)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

} // namespace

store_watch::store_watch(
    gateway_context& context, directory_sync& directory, peer_exchange const& peers)
    : context_(context)
    , directory_(directory)
    , peers_(peers)
    , io_(context.workers.at(0).io())
    , operator_rows_(context, context.ports.format.operator_table())
    , directory_rows_(context, context.ports.format.directory_table())
{
}

void store_watch::start()
{
    net::co_spawn(io_, watch_configuration(), net::detached);
    net::co_spawn(io_, confirm_configuration(), net::detached);
    net::co_spawn(io_, watch_directory(), net::detached);
}

void store_watch::record_reachability(
    bool& reachable, std::string_view watch, std::optional<store_error> error)
{
    bool const now_reachable = !error;
    if (now_reachable == reachable)
        return;
    reachable = now_reachable;
    log(reachable ? log_event::store_regained : log_event::store_lost,
        {{"watch", std::string{watch}},
         {"fault", error ? std::string{name_of(*error)} : ""},
         {"configuration_age_ms", milliseconds_text(context_.tables.routes.age(now()))}});
}

net::awaitable<void> store_watch::watch_configuration()
{
    auto const& settings = context_.settings;
    retry_backoff backoff;
    for (;;)
    {
        if (holder_watches_rows())
        {
            co_await sleep_for(io_, check_interval);
            continue;
        }
        // After an error, or without the holder, the first response must not be delayed: it shows
        // that the store is available, and confirms the configuration.
        bool const confirmed =
            !routes_were_read_ || context_.tables.routes.age(now()) < confirmation_age();
        bool const holder_answers = peers_.holder_rows().has_value();
        auto const wait = backoff.active() || !confirmed || holder_answers ? state::duration::zero()
                                                                           : settings.watch_wait;
        watch_is_pending_ = !operator_rows_.reads_whole_table() && wait > state::duration::zero();
        auto const reading = co_await operator_rows_.read(wait, settings.store_timeout);
        watch_is_pending_ = false;
        if (!reading)
        {
            record_reachability(configuration_reachable_, "configuration", reading.error());
            co_await sleep_for(io_, backoff.next(max_retry_delay()));
            continue;
        }
        backoff = {};
        apply_operator_reading(reading.value());
        if (context_.tables.routes.age(now()) >= confirmation_age())
            co_await sleep_for(io_, max_retry_delay());
        else if (holder_answers)
            co_await sleep_for(io_, check_interval);
    }
}

/// Whether the holder's report responses tell this instance of new rows, so that it need not watch
/// them: they are recent, and this instance has applied what the holder has.
bool store_watch::holder_watches_rows() const
{
    auto const rows = peers_.holder_rows();
    bool const lacks_configuration =
        listed_configuration_ < context_.tables.acknowledged.current().configuration;
    return routes_were_read_ && rows && rows->age < confirmation_age() &&
           rows->newest <= context_.tables.routes.newest() && !lacks_configuration;
}

state::duration store_watch::directory_period() const
{
    // The others rely on the reads of the holder.
    if (peers_.is_holder())
        return context_.settings.directory_period;
    return coordination::paced_interval(
        context_.settings.directory_period,
        context_.settings.drain_bound / directory_reads_per_drain_bound, peers_.instance_count());
}

state::duration store_watch::max_retry_delay() const
{
    // The others are confirmed as soon as the holder reaches the store again.
    if (peers_.is_holder())
        return shortest_max_retry_delay;
    return coordination::paced_interval(
        shortest_max_retry_delay, longest_max_retry_delay, peers_.instance_count());
}

state::duration store_watch::confirmation_age() const
{
    auto const followers_age = context_.settings.confirmation_age;
    if (!peers_.is_holder())
        return followers_age;
    return std::chrono::duration_cast<state::duration>(followers_age * holder_age_share);
}

net::awaitable<void> store_watch::confirm_configuration()
{
    retry_backoff backoff;
    auto queried_at = now();
    for (;;)
    {
        auto delay = check_interval;
        if (backoff.active())
            delay = backoff.next(max_retry_delay());
        co_await sleep_for(io_, delay);
        auto age = now() - queried_at;
        if (routes_were_read_)
            age = context_.tables.routes.age(now());
        if (!watch_is_pending_ || age < confirmation_age())
            continue;
        queried_at = now();
        // The pending watch may not detect that the store dropped the history it waits for.
        auto const reading =
            co_await operator_rows_.read(state::duration::zero(), context_.settings.store_timeout);
        if (reading)
        {
            backoff = {};
            apply_operator_reading(reading.value());
            continue;
        }
        backoff.next(max_retry_delay());
        record_reachability(configuration_reachable_, "configuration", reading.error());
    }
}

void store_watch::apply_operator_reading(table_reading const& reading)
{
    if (reading.is_whole_table)
        listed_configuration_ = {};
    // Before a first configuration, which makes requests possible.
    apply_evacuations(reading);
    apply_operator_rows(reading.listing);
    operator_rows_.record_applied(reading);
    if (routes_were_read_ && is_up_to_date(reading.listing))
        context_.tables.routes.confirm(reading.listing.requested_at);
    record_reachability(configuration_reachable_, "configuration", std::nullopt);
}

bool store_watch::is_up_to_date(row_listing const& listing)
{
    bool const may_be_copy = listing.era > state::first_store_era;
    auto const era_seen_at =
        context_.tables.store_eras.first_seen_at().value_or(listing.requested_at);
    bool const may_be_told = listing.requested_at - era_seen_at < peer_wait;
    if (may_be_copy && may_be_told && !peers_.has_heard_of_holder())
        return false;
    if (listed_configuration_ >= context_.tables.acknowledged.current().configuration)
    {
        outdated_since_.reset();
        return true;
    }
    outdated_since_ = outdated_since_.value_or(listing.requested_at);
    return listing.requested_at - *outdated_since_ >= rewrite_timeout;
}

void store_watch::apply_operator_rows(row_listing const& listing)
{
    auto const& format = context_.ports.format;
    state::row_version newest;
    for (auto const& row : listing.rows)
    {
        newest = std::max(newest, row.version);
        if (row.removed)
            continue;
        if (row.key == format.configuration_key())
            apply_configuration(row.value);
        else if (auto const rollout = format.rollout_request(row.key, row.value))
            apply_rollout(*rollout, context_.tables.store_eras.may_be_copied(row.version));
    }
    context_.tables.routes.mark_applied_through({listing.era, newest});
}

void store_watch::apply_evacuations(table_reading const& reading)
{
    auto const& rows = reading.listing;
    state::evacuation_listing listing;
    listing.position = {rows.era, rows.version};
    listing.is_whole = reading.is_whole_table;
    listing.requested_at = rows.requested_at;
    // A listing of changes may name a row more than once; the last change holds.
    for (auto const& row : rows.rows)
    {
        auto const domain = context_.ports.format.evacuated_domain(row.key);
        if (!domain)
            continue;
        (row.removed ? listing.removed : listing.listed).insert(*domain);
        (row.removed ? listing.listed : listing.removed).erase(*domain);
    }
    record_evacuations(context_, context_.tables.evacuations.apply(listing), "store");
}

void store_watch::apply_rollout(requested_rollout const& rollout, bool may_be_copied)
{
    bool const may_be_older = may_be_copied && context_.tables.rollouts.has_target(rollout.service);
    if (may_be_older)
        return;
    if (context_.tables.rollouts.set_target(rollout.service, rollout.target))
        log(log_event::version_withheld,
            {{"service", rollout.service.str()}, {"version", rollout.target.str()}});
}

void store_watch::apply_configuration(std::string const& text)
{
    state::findings found;
    auto routes = context_.ports.format.configuration(text, found);
    for (auto const& f : found)
        log(log_event::configuration_refused,
            {{"place", f.file}, {"key", f.key}, {"reason", f.reason}});
    if (!routes)
        return;
    auto const version = routes->version();
    listed_configuration_ = version;
    context_.tables.acknowledged.merge({{}, version});
    auto const count = routes->route_count();
    auto const organisations = routes->organisations().size();
    routes_were_read_ = true;
    auto const active = context_.tables.routes.current();
    auto const& settings = context_.settings;
    auto cold_servers = coordination::cold_policy_for(
        routes->services(), {settings.cold_overrun, settings.cold_slack}, settings.report_period);
    if (!context_.tables.routes.apply(std::move(routes)))
    {
        if (version < active->version())
            log(log_event::configuration_outdated,
                {{"version", std::to_string(version.count())},
                 {"in_force", std::to_string(active->version().count())}});
        return;
    }
    context_.tables.servers.set_cold_policy(std::move(cold_servers), now());
    log(log_event::configuration_taken,
        {{"version", std::to_string(version.count())},
         {"routes", std::to_string(count)},
         {"added", std::to_string(context_.tables.routes.added_routes())},
         {"organisations", std::to_string(organisations)}});
}

net::awaitable<void> store_watch::watch_directory()
{
    retry_backoff backoff;
    for (;;)
    {
        directory_.expire();
        if (servers_were_read_ && directory_.holder_updates_are_fresh())
        {
            co_await sleep_for(io_, check_interval);
            continue;
        }
        auto const reading =
            co_await directory_rows_.read(state::duration::zero(), context_.settings.store_timeout);
        if (reading)
        {
            backoff = {};
            if (directory_.apply_rows(reading.value().listing, reading.value().is_whole_table))
                directory_rows_.record_applied(reading.value());
            servers_were_read_ = true;
            record_reachability(directory_reachable_, "directory", std::nullopt);
        }
        else
        {
            directory_.record_store_error();
            record_reachability(directory_reachable_, "directory", reading.error());
        }
        auto delay = directory_period();
        if (!reading)
            delay = backoff.next(max_retry_delay());
        co_await sleep_for(io_, delay);
    }
}

} // namespace auburnweir::transport
