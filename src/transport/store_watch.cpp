#include "transport/store_watch.hpp"

#include "transport/async_signal.hpp"
#include "transport/log.hpp"

#include <algorithm>
#include <utility>

namespace auburnweir::transport
{

namespace
{

/// Pauses after failed calls to the store, from the first on; short against the bounds of
/// freshness.
constexpr state::duration first_fault_pause = std::chrono::milliseconds{150};
constexpr state::duration longest_fault_pause = std::chrono::milliseconds{600};

/// Part of the age at which the others ask that the holder asks at, so that its views reach them
/// before.
constexpr double holder_share = 0.6;

/// Interval between checks of whether the holder's updates still arrive.
constexpr state::duration fed_pause = std::chrono::milliseconds{200};

/// Growing pauses while calls fail.
class fault_pause
{
public:
    bool active() const { return next_ != first_fault_pause; }

    state::duration next()
    {
        return std::exchange(next_, std::min(2 * next_, longest_fault_pause));
    }

private:
    state::duration next_ = first_fault_pause;
};

std::string text_of(state::duration d)
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
{
}

void store_watch::start()
{
    net::co_spawn(io_, watch_configuration(), net::detached);
    net::co_spawn(io_, confirm_configuration(), net::detached);
    net::co_spawn(io_, watch_directory(), net::detached);
}

void store_watch::note(bool& reachable, std::string_view what, std::optional<store_fault> fault)
{
    bool const now_reachable = !fault;
    if (now_reachable == reachable)
        return;
    reachable = now_reachable;
    log(reachable ? log_event::store_regained : log_event::store_lost,
        {{"watch", std::string{what}},
         {"fault", fault ? std::string{name_of(*fault)} : ""},
         {"configuration_age_ms", text_of(context_.tables.routes.age(now()))}});
}

net::awaitable<void> store_watch::watch_configuration()
{
    auto& store = context_.ports.store;
    auto const& settings = context_.settings;
    auto const table = context_.ports.format.operator_table();
    bool whole = true;
    fault_pause pause;
    for (;;)
    {
        store_result<row_listing> got = store_fault::unreachable;
        // After a fault the first answer must come at once: it tells that the store is back.
        auto const wait = pause.active() ? state::duration::zero() : settings.watch_wait;
        watch_held_ = !whole && wait > state::duration::zero();
        if (whole)
            got = co_await store.read_table(table, settings.store_timeout);
        else
            got =
                co_await store.changes(table, operator_since_, wait, wait + settings.store_timeout);
        watch_held_ = false;
        if (!got)
        {
            whole = whole || got.error() == store_fault::history_dropped;
            note(configuration_reachable_, "configuration", got.error());
            co_await sleep_for(io_, pause.next());
            continue;
        }
        pause = {};
        whole = false;
        take_operator_listing(got.value());
    }
}

state::duration store_watch::confirmation_age() const
{
    auto const own = context_.settings.confirmation_age;
    if (!peers_.leads())
        return own;
    return std::chrono::duration_cast<state::duration>(own * holder_share);
}

net::awaitable<void> store_watch::confirm_configuration()
{
    auto& store = context_.ports.store;
    auto const& settings = context_.settings;
    auto const table = context_.ports.format.operator_table();
    fault_pause pause;
    for (;;)
    {
        co_await sleep_for(io_, pause.active() ? pause.next() : fed_pause);
        auto const age = context_.tables.routes.age(now());
        if (!watch_held_ || age < confirmation_age())
            continue;
        auto got = co_await store.changes(
            table, operator_since_, state::duration::zero(), settings.store_timeout);
        // The held watch need not notice that the history it waits for was dropped.
        if (!got && got.error() == store_fault::history_dropped)
            got = co_await store.read_table(table, settings.store_timeout);
        if (got)
        {
            pause = {};
            take_operator_listing(got.value());
            continue;
        }
        pause.next();
        note(configuration_reachable_, "configuration", got.error());
    }
}

void store_watch::take_operator_listing(row_listing const& listing)
{
    context_.clock.observe(listing.store_time, listing.asked, listing.received);
    take_operator_rows(listing);
    operator_since_ = std::max(operator_since_, listing.version);
    if (have_routes_)
        context_.tables.routes.confirm(listing.asked);
    note(configuration_reachable_, "configuration", std::nullopt);
}

void store_watch::take_operator_rows(row_listing const& listing)
{
    auto const& format = context_.ports.format;
    state::row_version newest;
    for (auto const& row : listing.rows)
    {
        newest = std::max(newest, row.version);
        if (row.removed)
            continue;
        if (row.key == format.configuration_key())
            take_configuration(row.value);
        else if (auto const move = format.move_order(row.key, row.value))
            take_move(*move);
    }
    context_.tables.routes.mark_applied_through(newest);
}

void store_watch::take_move(ordered_move const& move)
{
    if (context_.tables.moves.set_target(move.service, move.target))
        log(log_event::version_withheld,
            {{"service", move.service.str()}, {"version", move.target.str()}});
}

void store_watch::take_configuration(std::string const& text)
{
    state::findings found;
    auto routes = context_.ports.format.configuration(text, found);
    for (auto const& f : found)
        log(log_event::configuration_refused,
            {{"place", f.file}, {"key", f.key}, {"reason", f.reason}});
    if (!routes)
        return;
    auto const version = routes->version();
    auto const count = routes->routes();
    auto const organisations = routes->organisations().size();
    have_routes_ = true;
    if (!context_.tables.routes.apply(std::move(routes)))
        return;
    log(log_event::configuration_taken, {{"version", std::to_string(version.count())},
                                         {"routes", std::to_string(count)},
                                         {"organisations", std::to_string(organisations)}});
}

net::awaitable<void> store_watch::watch_directory()
{
    auto& store = context_.ports.store;
    auto const& settings = context_.settings;
    auto const table = context_.ports.format.directory_table();
    bool whole = true;
    state::row_version since;
    fault_pause pause;
    for (;;)
    {
        directory_.expire();
        if (have_servers_ && directory_.is_fed())
        {
            co_await sleep_for(io_, fed_pause);
            continue;
        }
        store_result<row_listing> got = store_fault::unreachable;
        if (whole)
            got = co_await store.read_table(table, settings.store_timeout);
        else
            got = co_await store.changes(
                table, since, state::duration::zero(), settings.store_timeout);
        if (got)
        {
            pause = {};
            directory_.take_rows(got.value(), whole);
            since = std::max(since, got.value().version);
            whole = false;
            have_servers_ = true;
            note(directory_reachable_, "directory", std::nullopt);
        }
        else
        {
            whole = whole || got.error() == store_fault::history_dropped;
            // Dropped history is no outage: what the next read does not list is gone.
            if (got.error() != store_fault::history_dropped)
                directory_.note_store_fault();
            note(directory_reachable_, "directory", got.error());
        }
        co_await sleep_for(io_, got ? settings.directory_period : pause.next());
    }
}

} // namespace auburnweir::transport
