#include "state/directory_log.hpp"

#include <algorithm>
#include <string>
#include <xxhash.h>

namespace auburnweir::state
{

namespace
{

/// Ends of a cold time that differ by less come from the same statement.
constexpr duration cold_end_tolerance = std::chrono::seconds{1};

/// Time that is left of a cold time that has ended. Not 0, which a row says of a warm server: the
/// digests of the sender and the receiver would differ.
constexpr duration ended_cold_time{1};

bool is_cold(listed_server const& s)
{
    return s.cold_for && *s.cold_for > duration::zero();
}

std::uint64_t hash_of(listed_server const& s)
{
    std::string text;
    for (auto const& part :
         {s.id.str(), s.service.str(), s.address.host, s.failure_domain.str(), s.version.str()})
    {
        text += part;
        text += '\0';
    }
    for (auto const number :
         {static_cast<std::int64_t>(s.incarnation.count()),
          static_cast<std::int64_t>(s.address.port), s.slots})
        text += std::to_string(number) + '\0';
    text += s.draining ? 'd' : ' ';
    text += s.reclaimable ? 'r' : ' ';
    // What is left of a cold time depends on the moment of reading, so it is no part of the digest.
    if (s.cold_for)
        text += is_cold(s) ? 'c' : 'w';
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

void directory_log::record_listed(listed_server const& server, time_point now)
{
    ranked_lock lock(mutex_);
    auto const it = entries_.try_emplace(server.id).first;
    auto& e = it->second;
    auto const cold_until = now + server.cold_for.value_or(duration::zero());
    if (e.server)
    {
        auto same_but_time = server;
        same_but_time.cold_for = e.server->cold_for;
        bool const says_the_same = e.server->cold_for.has_value() == server.cold_for.has_value() &&
                                   is_cold(*e.server) == is_cold(server);
        bool const has_ended = std::max(cold_until, e.cold_until) <= now + ended_cold_time;
        bool const same_end = !is_cold(server) || has_ended ||
                              (e.cold_until > now &&
                               std::chrono::abs(cold_until - e.cold_until) < cold_end_tolerance);
        if (same_but_time == *e.server && says_the_same && same_end)
            return;
    }
    e.cold_until = cold_until;
    if (!e.server)
        ++server_count_;
    e.server = server;
    record_change(it, hash_of(server));
}

void directory_log::record_removed(backend_id const& id)
{
    ranked_lock lock(mutex_);
    auto const it = entries_.find(id);
    if (it == entries_.end() || !it->second.server)
        return;
    it->second.server.reset();
    --server_count_;
    record_change(it, 0);
}

void directory_log::record_change(entries::iterator changed, std::uint64_t hash)
{
    auto& e = changed->second;
    // The combination does not depend on the order of the changes.
    digest_ ^= e.hash ^ hash;
    e.hash = hash;
    e.version = ++last_version_;
    history_.emplace_back(digest_, changed->first);
    if (history_.size() <= max_history)
        return;
    history_.pop_front();
    ++oldest_version_;
    // A removed server is forgotten with its removal: a copy that still lists it is older than the
    // history, so it gets no changes but a full copy.
    auto const oldest = entries_.find(history_.front().second);
    bool const is_forgotten = oldest != entries_.end() && !oldest->second.server &&
                              oldest->second.version == oldest_version_;
    if (is_forgotten)
        entries_.erase(oldest);
}

void directory_log::confirm(time_point requested_at)
{
    ranked_lock lock(mutex_);
    read_at_ = requested_at;
}

listed_server directory_log::listed_at(entry const& e, time_point now)
{
    auto server = *e.server;
    if (is_cold(server))
        server.cold_for = std::max(e.cold_until - now, ended_cold_time);
    return server;
}

directory_update directory_log::update_at(time_point now) const
{
    directory_update update;
    update.version = directory_version{last_version_};
    update.age = now - *read_at_;
    return update;
}

std::optional<directory_update> directory_log::changes_since(
    directory_version base, time_point now) const
{
    ranked_lock lock(mutex_);
    if (!read_at_ || base.count() < oldest_version_ || base.count() > last_version_)
        return std::nullopt;
    auto update = update_at(now);
    auto const first =
        history_.begin() + static_cast<std::ptrdiff_t>(base.count() - oldest_version_) + 1;
    for (auto change = first; change != history_.end(); ++change)
    {
        auto const& e = entries_.at(change->second);
        auto const version =
            oldest_version_ + static_cast<std::uint64_t>(change - history_.begin());
        if (e.version != version)
            continue; // changed again later
        if (e.server)
            update.listed.push_back(listed_at(e, now));
        else
            update.removed.push_back(change->second);
    }
    return update;
}

std::optional<directory_update> directory_log::full_copy(time_point now) const
{
    ranked_lock lock(mutex_);
    if (!read_at_)
        return std::nullopt;
    auto update = update_at(now);
    update.complete = true;
    for (auto const& [id, e] : entries_)
        if (e.server)
            update.listed.push_back(listed_at(e, now));
    return update;
}

std::optional<directory_version> directory_log::version_with(directory_digest digest) const
{
    ranked_lock lock(mutex_);
    auto const found = std::find_if(
        history_.rbegin(), history_.rend(),
        [&](auto const& version) { return version.first == digest.count(); });
    if (found == history_.rend())
        return std::nullopt;
    auto const index = static_cast<std::uint64_t>(history_.rend() - found) - 1;
    return directory_version{oldest_version_ + index};
}

directory_digest directory_log::digest() const
{
    ranked_lock lock(mutex_);
    return directory_digest{digest_};
}

std::size_t directory_log::server_count() const
{
    ranked_lock lock(mutex_);
    return server_count_;
}

} // namespace auburnweir::state
