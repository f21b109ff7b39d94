#ifndef AUBURNWEIR_SOAK_RECORD_HPP
#define AUBURNWEIR_SOAK_RECORD_HPP

#include "state/time.hpp"
#include "support/caller.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnweir::soak
{

using time_point = state::time_point;
using std::chrono::milliseconds;

enum class request_kind : std::uint8_t
{
    safe,
    once,        ///< must not run twice
    resumable,   ///< a stream that another backend may resume
    once_stream, ///< a stream that must not run twice
    added_route
};

/// One request and its response, as its caller observed them.
struct observed_request
{
    std::string id;
    request_kind kind = request_kind::safe;
    int gateway = 0;
    int incarnation = 0; ///< of the gateway's process when the request was sent
    std::string key;
    int route_number = 0; ///< for `request_kind::added_route`
    time_point sent_at{};
    time_point ended_at{};
    int timeout_ms = 0;
    tests::received_response response;

    bool is_streamed() const
    {
        return kind == request_kind::resumable || kind == request_kind::once_stream;
    }

    bool may_run_twice() const
    {
        return kind != request_kind::once && kind != request_kind::once_stream;
    }
};

struct time_range
{
    time_point from{};
    time_point to{};
};

/// A time in which a backend was draining and must not get new requests.
struct backend_drain
{
    int backend = 0;
    time_range time; ///< from the acknowledgement of the drain to its end
};

/// Observations of one run, recorded by the callers and by the thread that injects faults.
struct soak_record
{
    std::mutex mutex;
    bool without_faults = false; ///< all responses must be whole
    std::vector<observed_request> requests;
    std::map<std::string, time_point> revoked_keys; ///< with the time of the acknowledgement
    std::vector<time_point> route_added_at; ///< by route number, time of the acknowledgement
    std::vector<backend_drain> drains;
    std::vector<time_range> disruptions; ///< faults of processes, links and the store
    std::map<std::string, std::vector<time_point>> resumed_at; ///< by gateway, ends of pauses
    std::vector<std::string> violations;                       ///< found during the run

    /// How late the latest planned change was made. The ends of `disruptions` are the planned ones.
    milliseconds max_delay{};

    // Read at the end of the run.
    /// By backend, how often each request ran in all its processes.
    std::vector<std::map<std::string, int>> run_counts;
    tests::json duty_calls;

    void add_request(observed_request request)
    {
        std::lock_guard lock(mutex);
        requests.push_back(std::move(request));
    }

    /// Whether no disruption overlaps the time from `from` to `to`.
    bool is_undisrupted(time_point from, time_point to) const
    {
        for (auto const& d : disruptions)
            if (d.from < to && from < d.to)
                return false;
        return true;
    }
};

/// Rate of the organisation with a limit; its burst is as many requests.
inline constexpr double limited_rate_per_second = 40;

/// Checks a record against the guarantees of the public pages. @return a text for each violation
std::vector<std::string> find_violations(soak_record const& record);

} // namespace auburnweir::soak

#endif
