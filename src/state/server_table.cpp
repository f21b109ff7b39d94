#include "state/server_table.hpp"

#include "state/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace auburnweir::state
{

namespace
{
constexpr double failure_share_weight = 0.1; ///< weight of the latest request

/// Departures that are remembered; the oldest is dropped first.
constexpr std::size_t max_departures = 4096;

/// A row that is renewed with the time that is left names nearly the same end again.
constexpr duration cold_end_tolerance = std::chrono::seconds{1};

/// Time for which a server that accepts no connection is avoided; doubles with each failure.
constexpr duration min_unconnected_time = std::chrono::seconds{1};
constexpr duration max_unconnected_time = std::chrono::seconds{4};
constexpr int max_connect_failures = 3; ///< after which the time does not grow

/// Time for which others are preferred to a server that refused a request. It grows with each
/// refusal in a row: where requests are rarer than the shortest time, each would be sent there
/// first and cost a retry.
constexpr duration min_full_time = std::chrono::milliseconds{300};
constexpr int full_time_factor = 4;
constexpr int max_refusals_in_row = 3; ///< after which the time does not grow

/// Time for which a server gets no requests at whose address another one answers; doubles each
/// time. The directory drops a server that has gone within some seconds.
constexpr duration min_replaced_time = std::chrono::seconds{2};
constexpr int max_replaced_doublings = 2;
} // namespace

server_table::change server_table::apply(
    listed_server const& listed, time_point now, listing_context const& context)
{
    ranked_lock lock(mutex_);
    auto& e = entries_[listed.id];
    bool const new_incarnation = e.view.listed.id.empty() ||
                                 e.view.listed.incarnation != listed.incarnation ||
                                 e.view.listed.address != listed.address;
    if (new_incarnation)
    {
        e = entry{};
        e.view.first_listed_at = now;
        if (!context.is_first_reading)
            e.assumed = assumed_cold{now, std::nullopt};
        if (e.assumed && context.server_age)
            e.assumed->started_at = now - *context.server_age;
    }
    e.view.missing_until.reset();
    e.view.listed = listed;
    if (listed.cold_for)
        record_row_cold(e, now + *listed.cold_for, now);
    update_cold(e, now);
    if (listed.draining)
        record_departure(listed.id, listed.incarnation, now);
    bool const leaves = has_said_leaving(listed.id, listed.incarnation);
    bool const newly_leaving = leaves && !e.leaving;
    e.leaving = e.leaving || leaves;
    if (newly_leaving)
        return change::leaving;
    return new_incarnation ? change::added : change::none;
}

server_table::change server_table::remove(
    backend_id const& id, std::optional<time_point> keep_until)
{
    ranked_lock lock(mutex_);
    auto const it = entries_.find(id);
    if (it == entries_.end())
        return change::none;
    if (keep_until && !it->second.leaving)
    {
        auto& missing_until = it->second.view.missing_until;
        missing_until = missing_until.value_or(*keep_until);
        return change::missing;
    }
    entries_.erase(it);
    return change::removed;
}

std::vector<backend_id> server_table::expire_missing(time_point now)
{
    ranked_lock lock(mutex_);
    std::vector<backend_id> expired;
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        if (!is_expired(it->second, now))
        {
            ++it;
            continue;
        }
        expired.push_back(it->first);
        it = entries_.erase(it);
    }
    return expired;
}

bool server_table::is_expired(entry const& e, time_point now)
{
    return e.view.missing_until && *e.view.missing_until <= now;
}

std::vector<backend_id> server_table::ids() const
{
    ranked_lock lock(mutex_);
    std::vector<backend_id> all;
    for (auto const& [id, e] : entries_)
        all.push_back(id);
    return all;
}

bool server_table::mark_leaving(
    backend_id const& id, incarnation_number incarnation, time_point now)
{
    ranked_lock lock(mutex_);
    if (!record_departure(id, incarnation, now))
        return false;
    auto const it = entries_.find(id);
    if (it != entries_.end() && has_said_leaving(id, it->second.view.listed.incarnation))
        it->second.leaving = true;
    return true;
}

bool server_table::record_departure(
    backend_id const& id, incarnation_number incarnation, time_point now)
{
    auto const known = departures_.find(id);
    bool const is_new = known == departures_.end() || known->second.incarnation < incarnation;
    if (!is_new)
        return false;
    if (known == departures_.end() && departures_.size() >= max_departures)
    {
        departures_.erase(std::ranges::min_element(
            departures_, {}, [](auto const& entry) { return entry.second.at; }));
        ++dropped_departures_;
    }
    departures_[id] = {incarnation, now};
    return true;
}

bool server_table::is_leaving(backend_id const& id, incarnation_number incarnation) const
{
    ranked_lock lock(mutex_);
    return has_said_leaving(id, incarnation);
}

std::uint64_t server_table::dropped_departures() const
{
    ranked_lock lock(mutex_);
    return dropped_departures_;
}

bool server_table::has_said_leaving(backend_id const& id, incarnation_number incarnation) const
{
    auto const found = departures_.find(id);
    return found != departures_.end() && found->second.incarnation >= incarnation;
}

server_availability server_table::availability_of(
    entry const& e, placement_rule const& rule, time_point now) const
{
    if (e.leaving || is_expired(e, now))
        return server_leaving{};
    if (e.replaced_until && *e.replaced_until > now)
        return server_replaced{};
    auto const& domain = e.view.listed.failure_domain;
    if (evacuated_.contains(domain) || !permits(rule, domain))
        return server_barred{};
    auto opens_at = e.view.refusing_until;
    if (e.view.limit)
        opens_at = std::max(opens_at, e.view.limit->opens_at(shares_.of(domain)));
    // A server that stays cold for longer than until this instance's next request opens then; one
    // that this instance does not own opens when it is warm.
    if (e.view.is_cold(now))
        opens_at = std::max(
            opens_at, std::min(*e.view.cold_until, e.cold.opens_at().value_or(time_point::max())));
    if (opens_at > now)
        return server_closed{opens_at};
    return server_open{};
}

server_pool server_table::pool(
    service_id const& service, time_point now, placement_rule const& rule) const
{
    ranked_lock lock(mutex_);
    server_pool result;
    // Growing in steps costs more than the copies: with 600 servers each selection would get new
    // pages from the kernel.
    result.open.reserve(entries_.size());
    std::vector<server_view> avoided;
    for (auto const& item : entries_)
    {
        auto const& view = item.second.view;
        if (view.listed.service != service)
            continue;
        bool const is_avoided = view.is_avoided(now);
        std::visit(
            overloaded{
                [&](server_open) { (is_avoided ? avoided : result.open).push_back(view); },
                [&](server_closed closed) {
                    result.closed.push_back({view.listed.id, closed.until});
                },
                [](server_leaving) {}, [](server_replaced) {},
                [&](server_barred) { ++result.barred; }},
            availability_of(item.second, rule, now));
    }
    if (result.open.empty())
        result.open = std::move(avoided);
    return result;
}

std::set<endpoint> server_table::addresses() const
{
    ranked_lock lock(mutex_);
    std::set<endpoint> result;
    for (auto const& [id, e] : entries_)
        result.insert(e.view.listed.address);
    return result;
}

std::vector<server_view> server_table::all(service_id const& service) const
{
    ranked_lock lock(mutex_);
    std::vector<server_view> result;
    for (auto const& [id, e] : entries_)
        if (e.view.listed.service == service)
            result.push_back(e.view);
    return result;
}

std::vector<server_view> server_table::snapshot() const
{
    ranked_lock lock(mutex_);
    std::vector<server_view> result;
    for (auto const& [id, e] : entries_)
    {
        result.push_back(e.view);
        result.back().listed.draining = e.leaving;
    }
    return result;
}

std::optional<server_view> server_table::view(backend_id const& id) const
{
    ranked_lock lock(mutex_);
    auto const it = entries_.find(id);
    if (it == entries_.end())
        return std::nullopt;
    auto copy = it->second.view;
    copy.listed.draining = it->second.leaving;
    return copy;
}

void server_table::record_refusing(
    backend_id const& id, incarnation_number incarnation, time_point until)
{
    ranked_lock lock(mutex_);
    auto const it = entries_.find(id);
    if (it == entries_.end() || it->second.view.listed.incarnation != incarnation)
        return;
    auto& refusing_until = it->second.view.refusing_until;
    refusing_until = std::max(refusing_until, until);
}

bool server_table::has_limits() const
{
    ranked_lock lock(mutex_);
    return std::ranges::any_of(
        entries_, [](auto const& entry) { return entry.second.view.limit.has_value(); });
}

void server_table::set_cold_policy(cold_policy policy, time_point now)
{
    ranked_lock lock(mutex_);
    cold_policy_ = std::move(policy);
    update_all_cold(now);
}

void server_table::set_rank(instance_rank rank, time_point now)
{
    ranked_lock lock(mutex_);
    rank_ = rank;
    update_all_cold(now);
}

void server_table::update_all_cold(time_point now)
{
    for (auto& [id, e] : entries_)
        update_cold(e, now);
}

void server_table::update_cold(entry& e, time_point now)
{
    auto const& listed = e.view.listed;
    auto const service = cold_policy_.services.find(listed.service);
    e.view.cold_until.reset();
    if (service == cold_policy_.services.end())
        return e.cold.set_interval(std::nullopt, now);
    auto const cold_time = service->second.cold_time;
    // An old process is warm, whenever this instance first saw it.
    bool const is_old = e.assumed && e.assumed->started_at &&
                        *e.assumed->started_at + cold_time <= e.assumed->since;
    if (e.stated_cold_until)
        e.view.cold_until = e.stated_cold_until;
    else if (e.assumed && !is_old && cold_time > duration::zero())
        e.view.cold_until = e.assumed->since + cold_time;
    std::optional<duration> interval;
    if (cold_policy_.interval_of)
        interval = cold_policy_.interval_of(listed.id, rank_, service->second);
    e.cold.set_interval(interval, now + cold_policy_.settle_time);
}

void server_table::record_row_cold(entry& e, time_point until, time_point now)
{
    auto const known = std::exchange(e.row_cold_until, until);
    bool const is_warm_as_before = known && *known <= now && until <= now;
    bool const is_same_end = known && *known > now && until > now &&
                             std::chrono::abs(until - *known) < cold_end_tolerance;
    // A response may have said something newer than a row that is listed again.
    bool const is_outdated = is_same_end && e.stated_cold_until != known;
    if (is_warm_as_before || is_outdated)
        return;
    e.stated_cold_until = until;
    e.assumed.reset();
}

bool server_table::record_cold(
    backend_id const& id, incarnation_number incarnation, duration cold_for, time_point now)
{
    ranked_lock lock(mutex_);
    auto const it = entries_.find(id);
    if (it == entries_.end() || it->second.view.listed.incarnation != incarnation)
        return false;
    auto& e = it->second;
    bool const was_cold = e.view.is_cold(now);
    e.stated_cold_until = now + cold_for;
    e.assumed.reset();
    update_cold(e, now);
    return e.view.is_cold(now) != was_cold;
}

void server_table::record_return(failure_domain_id const& domain, time_point now)
{
    ranked_lock lock(mutex_);
    for (auto& [id, e] : entries_)
    {
        auto const service = cold_policy_.services.find(e.view.listed.service);
        bool const may_be_cold =
            service != cold_policy_.services.end() && service->second.cold_time > duration::zero();
        if (e.view.listed.failure_domain != domain || !may_be_cold)
            continue;
        // A longer time that the server named itself still holds.
        auto const end = now + service->second.cold_time;
        if (e.view.cold_until && *e.view.cold_until >= end)
            continue;
        e.stated_cold_until.reset();
        e.assumed = assumed_cold{now, std::nullopt};
        update_cold(e, now);
    }
}

cold_summary server_table::summarise_cold(time_point now) const
{
    ranked_lock lock(mutex_);
    cold_summary summary;
    summary.requests_sent = cold_requests_sent_;
    for (auto const& [id, e] : entries_)
    {
        if (!e.view.is_cold(now))
            continue;
        ++summary.servers;
        summary.owned += e.cold.is_owner() ? 1 : 0;
    }
    return summary;
}

void server_table::set_evacuated(std::set<failure_domain_id> domains)
{
    ranked_lock lock(mutex_);
    evacuated_ = std::move(domains);
}

void server_table::set_send_shares(send_shares shares)
{
    ranked_lock lock(mutex_);
    shares_ = std::move(shares);
}

bool server_table::try_send(backend_id const& id, time_point now, placement_rule const& rule)
{
    ranked_lock lock(mutex_);
    auto const it = entries_.find(id);
    if (it == entries_.end() ||
        !std::holds_alternative<server_open>(availability_of(it->second, rule, now)))
        return false;
    auto& v = it->second.view;
    if (v.limit)
        v.limit->record_sent(shares_.of(v.listed.failure_domain), now);
    if (v.is_cold(now))
    {
        it->second.cold.record_sent(now);
        ++cold_requests_sent_;
    }
    ++v.in_flight;
    ++v.sent_since_load;
    return true;
}

bool server_table::record_limit(
    backend_id const& id, incarnation_number incarnation, std::optional<request_rate> rate,
    time_point now)
{
    ranked_lock lock(mutex_);
    auto const it = entries_.find(id);
    if (it == entries_.end() || it->second.view.listed.incarnation != incarnation)
        return false;
    auto& limit = it->second.view.limit;
    auto const known = limit ? std::optional{limit->rate()} : std::nullopt;
    if (known == rate)
        return false;
    if (!rate)
        limit.reset();
    else if (limit)
        limit->change_rate(*rate, shares_.of(it->second.view.listed.failure_domain), now);
    else
        limit.emplace(*rate, now);
    return true;
}

void server_table::record_load(backend_id const& id, server_load report, time_point now)
{
    ranked_lock lock(mutex_);
    auto const it = entries_.find(id);
    if (it == entries_.end())
        return;
    it->second.view.load = report;
    it->second.view.load_at = now;
    it->second.view.sent_since_load = 0;
}

server_table::entry* server_table::entry_of(server_rating const& rating)
{
    auto const it = entries_.find(rating.id);
    if (it == entries_.end() || it->second.view.listed.incarnation != rating.incarnation)
        return nullptr;
    return &it->second;
}

void server_table::apply_ratings(std::vector<server_rating> const& ratings, time_point now)
{
    ranked_lock lock(mutex_);
    for (auto const& rating : ratings)
    {
        auto* const e = entry_of(rating);
        if (!e)
            continue;
        e->view.rating = rating;
        e->view.rated_at = now;
        e->holder_rated_at = now;
        e->holder_rating_since = now;
    }
}

void server_table::confirm_ratings(time_point since, time_point now)
{
    ranked_lock lock(mutex_);
    for (auto& [id, e] : entries_)
    {
        bool const holds = e.holder_rated_at && *e.holder_rated_at >= since &&
                           now - *e.holder_rated_at <= max_rating_age &&
                           now - *e.holder_rating_since <= max_confirmed_time;
        if (!holds)
            continue;
        // The event interval holds now; the load is as old as before.
        e.view.rating->load_age += now - e.view.rated_at;
        e.view.rated_at = now;
        e.holder_rated_at = now;
    }
}

void server_table::apply_own_ratings(std::vector<server_rating> const& ratings, time_point now)
{
    ranked_lock lock(mutex_);
    for (auto const& rating : ratings)
    {
        auto* const e = entry_of(rating);
        if (!e || (e->holder_rated_at && now - *e->holder_rated_at <= max_rating_age))
            continue;
        e->view.rating = rating;
        e->view.rated_at = now;
    }
}

std::map<backend_id, incarnation_number> server_table::incarnations() const
{
    ranked_lock lock(mutex_);
    std::map<backend_id, incarnation_number> result;
    for (auto const& [id, e] : entries_)
        result.emplace_hint(result.end(), id, e.view.listed.incarnation);
    return result;
}

void server_table::record_refusal(server_view& v, time_point now)
{
    bool const is_next_in_row = now > v.full_until;
    if (is_next_in_row)
        v.refusals_in_row = std::min(v.refusals_in_row + 1, max_refusals_in_row);
    auto full_time = min_full_time;
    for (int i = 1; is_next_in_row && i < v.refusals_in_row; ++i)
        full_time *= full_time_factor;
    v.refused_at = now;
    v.full_until = std::max(v.full_until, now + full_time);
    v.doubted_until = std::max(v.doubted_until, now + full_time * full_time_factor);
}

std::optional<server_view> server_table::record_end(
    backend_id const& id, server_outcome outcome, time_point now)
{
    ranked_lock lock(mutex_);
    auto const it = entries_.find(id);
    if (it == entries_.end())
        return std::nullopt;
    auto& v = it->second.view;
    v.in_flight = std::max<std::int64_t>(0, v.in_flight - 1);
    bool const has_responded =
        outcome == server_outcome::answered || outcome == server_outcome::refused;
    if (has_responded)
    {
        v.connect_failures = 0;
        v.unconnected_until.reset();
    }
    switch (outcome)
    {
    case server_outcome::answered:
        v.failures_in_row = 0;
        v.failure_share *= 1 - failure_share_weight;
        v.refusals_in_row = 0;
        v.full_until = std::min(v.full_until, v.refused_at + min_full_time);
        v.doubted_until = {};
        break;
    case server_outcome::failed:
    case server_outcome::unreachable:
        ++v.failures_in_row;
        v.failure_share += failure_share_weight * (1 - v.failure_share);
        break;
    case server_outcome::refused:
        record_refusal(v, now);
        break;
    case server_outcome::abandoned:
        break;
    }
    return v;
}

void server_table::record_unnamed_refusal(backend_id const& id, time_point now)
{
    ranked_lock lock(mutex_);
    auto const it = entries_.find(id);
    if (it != entries_.end())
        it->second.view.unnamed_refusal_at = now;
}

void server_table::record_unconnected(backend_id const& id, time_point now)
{
    ranked_lock lock(mutex_);
    auto const it = entries_.find(id);
    if (it == entries_.end())
        return;
    auto& v = it->second.view;
    auto const avoided_for = min_unconnected_time * (1 << v.connect_failures);
    v.unconnected_until = now + std::min(avoided_for, max_unconnected_time);
    v.connect_failures = std::min(v.connect_failures + 1, max_connect_failures);
}

bool server_table::record_replaced(
    backend_id const& id, incarnation_number incarnation, time_point now)
{
    ranked_lock lock(mutex_);
    auto const it = entries_.find(id);
    if (it == entries_.end() || it->second.view.listed.incarnation != incarnation)
        return false;
    auto& e = it->second;
    bool const is_known = e.replaced_until && *e.replaced_until > now;
    if (is_known)
        return false;
    auto const doublings = std::min(e.replacements, max_replaced_doublings);
    e.replaced_until = now + min_replaced_time * (1 << doublings);
    ++e.replacements;
    return true;
}

void server_table::record_link(service_id const& service)
{
    ranked_lock lock(mutex_);
    for (auto& [id, e] : entries_)
    {
        if (e.view.listed.service != service)
            continue;
        e.view.connect_failures = 0;
        e.view.unconnected_until.reset();
    }
}

void server_table::eject(backend_id const& id, time_point until)
{
    ranked_lock lock(mutex_);
    auto const it = entries_.find(id);
    if (it == entries_.end())
        return;
    it->second.view.ejected_until = until;
    it->second.view.failures_in_row = 0;
    ++it->second.view.ejections;
}

} // namespace auburnweir::state
