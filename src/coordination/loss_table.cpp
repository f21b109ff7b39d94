#include "coordination/loss_table.hpp"

namespace auburnweir::coordination
{

namespace
{

constexpr std::size_t max_servers = 256;

/// Of one server. A request has as many segments as its header holds, a few thousand at most.
constexpr std::size_t max_segments_per_server = 8192;
constexpr std::size_t max_segments = 65536; ///< of all servers

/// Losses at one server within this time belong to one event.
constexpr state::duration grouping_time = std::chrono::seconds{2};

} // namespace

bool loss_table::record(
    state::server_process_hash server, state::segment_hashes const& segments, state::time_point now)
{
    if (losses_.size() >= max_servers || segments_ + segments.size() > max_segments)
        remove_outdated(now);
    if (losses_.size() >= max_servers && !losses_.contains(server))
    {
        dropped_ += segments.size();
        return false;
    }
    auto const known = losses_.find(server);
    bool const is_new = known == losses_.end() || now - known->second.at > grouping_time;
    if (is_new)
        remove(server);
    auto& at_server = losses_[server];
    if (is_new)
        at_server.at = now;
    for (auto const& segment : segments)
    {
        if (at_server.segments.contains(segment))
            continue;
        if (at_server.segments.size() >= max_segments_per_server || segments_ >= max_segments)
        {
            ++dropped_;
            continue;
        }
        at_server.segments.insert(segment);
        ++segments_;
    }
    return is_new;
}

std::optional<losses> loss_table::take(state::server_process_hash server, state::time_point now)
{
    auto const found = losses_.find(server);
    if (found == losses_.end())
        return std::nullopt;
    auto taken = std::move(found->second);
    segments_ -= taken.segments.size();
    losses_.erase(found);
    if (now - taken.at > grouping_time)
        return std::nullopt;
    return taken;
}

void loss_table::remove(state::server_process_hash server)
{
    auto const found = losses_.find(server);
    if (found == losses_.end())
        return;
    segments_ -= found->second.segments.size();
    losses_.erase(found);
}

void loss_table::remove_outdated(state::time_point now)
{
    for (auto it = losses_.begin(); it != losses_.end();)
    {
        bool const is_outdated = now - it->second.at > grouping_time;
        if (is_outdated)
            segments_ -= it->second.segments.size();
        it = is_outdated ? losses_.erase(it) : std::next(it);
    }
}

} // namespace auburnweir::coordination
