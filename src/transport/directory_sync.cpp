#include "transport/directory_sync.hpp"

#include "transport/log.hpp"

namespace auburnweir::transport
{

namespace
{

/// Time in which backend servers that disappeared from the directory while the store was
/// unavailable list themselves again.
constexpr state::duration relisting_timeout = std::chrono::milliseconds{2300};

/// Time in which the store removes the rows of servers that no longer renew them, after it came
/// back from an older copy.
constexpr state::duration unrenewed_row_lifetime = std::chrono::seconds{5};

/// Updates of the holder that are older than this share of the bound for leaving servers do not
/// replace reads of the store.
constexpr double max_holder_update_share = 0.45;

} // namespace

bool directory_sync::apply_rows(row_listing const& listing, bool is_full_listing)
{
    std::lock_guard lock(mutex_);
    if (listing.requested_at < holder_update_at_)
        return false;
    own_read_at_ = listing.requested_at;
    // Servers that registered after the copy was made list themselves again.
    if (std::exchange(era_, listing.era).value_or(listing.era) != listing.era)
        store_failed_at_ = now();
    if (is_full_listing)
        copied_rows_.clear();
    std::set<state::backend_id> listed;
    for (auto const& row : listing.rows)
    {
        state::backend_id const id{row.key};
        copied_rows_.erase(id);
        if (row.removed)
            remove_server(id);
        else if (may_list_gone_server(row))
            copied_rows_.emplace(id, row);
        else
            apply_row(row);
        listed.insert(id);
    }
    context_.tables.counters.increment(
        state::event_counter::directory_rows_held_back, copied_rows_.size());
    if (is_full_listing)
        remove_unlisted(listed);
    has_applied_ = true;
    context_.tables.directory_log.confirm(listing.requested_at);
    return true;
}

bool directory_sync::apply_update(state::directory_update const& update, state::time_point read_at)
{
    std::lock_guard lock(mutex_);
    bool const has_changes = update.complete || !update.listed.empty() || !update.removed.empty();
    if (has_changes && read_at < own_read_at_)
        return false;
    holder_update_at_ = std::max(holder_update_at_, read_at);
    copied_rows_.clear();
    std::set<state::backend_id> listed;
    for (auto const& server : update.listed)
    {
        apply_server(server);
        listed.insert(server.id);
    }
    for (auto const& id : update.removed)
        remove_server(id);
    if (update.complete)
        remove_unlisted(listed);
    has_applied_ = has_applied_ || has_changes;
    return true;
}

void directory_sync::record_store_error()
{
    std::lock_guard lock(mutex_);
    store_failed_at_ = now();
}

void directory_sync::discard_holder_update()
{
    std::lock_guard lock(mutex_);
    holder_update_at_ = {};
}

bool directory_sync::holder_updates_are_fresh() const
{
    std::lock_guard lock(mutex_);
    return now() - holder_update_at_ <= max_holder_update_share * context_.settings.drain_bound;
}

void directory_sync::expire()
{
    std::lock_guard lock(mutex_);
    if (!copied_rows_.empty() && !copies_may_list_gone_servers())
        for (auto const& [id, row] : std::exchange(copied_rows_, {}))
            apply_row(row);
    for (auto const& expired : context_.tables.servers.expire_missing(now()))
    {
        cold_rows_.erase(expired);
        context_.tables.directory_log.record_removed(expired);
        log(log_event::backend_gone, {{"backend", expired.str()}, {"why", "not_listed_again"}});
    }
}

bool directory_sync::copies_may_list_gone_servers() const
{
    auto const began_at = context_.tables.store_eras.began_at();
    return began_at && now() - *began_at < unrenewed_row_lifetime;
}

bool directory_sync::may_list_gone_server(stored_row const& row) const
{
    bool const may_be_copied = context_.tables.store_eras.may_be_copied(row.version);
    if (!may_be_copied || !copies_may_list_gone_servers())
        return false;
    auto const listed = context_.ports.format.server(row.key, row.value);
    auto const known = context_.tables.servers.view(state::backend_id{row.key});
    return listed && !(known && known->listed.incarnation == listed->incarnation);
}

void directory_sync::apply_row(stored_row const& row)
{
    auto listed = context_.ports.format.server(row.key, row.value);
    if (!listed)
    {
        log(log_event::backend_row_unreadable, {{"backend", row.key}});
        return;
    }
    count_down_cold_time(*listed, row.version);
    apply_server(*listed);
}

void directory_sync::count_down_cold_time(state::listed_server& listed, state::row_version version)
{
    if (!listed.cold_for || *listed.cold_for <= state::duration::zero())
    {
        cold_rows_.erase(listed.id);
        return;
    }
    auto& known = cold_rows_[listed.id];
    if (known.at == state::time_point{} || known.version != version)
        known = {version, now()};
    // Not 0, which would say that the row names no cold time.
    listed.cold_for = std::max(*listed.cold_for - (now() - known.at), state::duration{1});
}

void directory_sync::apply_server(state::listed_server const& listed)
{
    context_.tables.directory_log.record_listed(listed, now());
    state::listing_context about;
    about.is_first_reading = !has_applied_;
    auto const unknown_start = state::incarnation_number{0};
    if (listed.incarnation != unknown_start)
        about.server_age =
            context_.clock.true_time().time_since_epoch() -
            std::chrono::milliseconds{static_cast<std::int64_t>(listed.incarnation.count())};
    auto const before = context_.tables.servers.view(listed.id);
    using change = state::server_table::change;
    auto const result = context_.tables.servers.apply(listed, now(), about);
    bool const was_cold = before && before->is_cold(now());
    auto const after = context_.tables.servers.view(listed.id);
    if (after && after->is_cold(now()) && (!was_cold || result == change::added))
    {
        auto const left = std::chrono::ceil<std::chrono::milliseconds>(*after->cold_until - now());
        log(log_event::backend_cold, {{"backend", listed.id.str()},
                                      {"for_ms", std::to_string(left.count())},
                                      {"why", listed.cold_for ? "its_row" : "started"}});
    }
    if (result == change::none)
        return;
    log(result == change::leaving ? log_event::backend_leaving : log_event::backend_listed,
        {{"backend", listed.id.str()},
         {"service", listed.service.str()},
         {"failure_domain", listed.failure_domain.str()},
         {"address", listed.address.host + ":" + std::to_string(listed.address.port)},
         {"life", std::to_string(listed.incarnation.count())},
         {"reclaimable", listed.reclaimable ? "yes" : "no"}});
}

void directory_sync::remove_server(state::backend_id const& id)
{
    // Counted from the store's last error, not from the removal: a server that leaves after the
    // store's return is not listed again.
    auto const relisted_until = store_failed_at_ + relisting_timeout;
    bool const may_be_relisted = store_failed_at_ != state::time_point{} && now() < relisted_until;
    using change = state::server_table::change;
    auto const result = context_.tables.servers.remove(
        id, may_be_relisted ? std::optional{relisted_until} : std::nullopt);
    if (result != change::removed)
        return;
    cold_rows_.erase(id);
    context_.tables.directory_log.record_removed(id);
    log(log_event::backend_gone, {{"backend", id.str()}, {"why", "not_listed"}});
}

void directory_sync::remove_unlisted(std::set<state::backend_id> const& listed)
{
    for (auto const& id : context_.tables.servers.ids())
        if (!listed.contains(id))
            remove_server(id);
}

} // namespace auburnweir::transport
