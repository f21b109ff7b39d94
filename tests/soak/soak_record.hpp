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

using moment = state::time_point;
using std::chrono::milliseconds;

enum class request_kind : std::uint8_t
{
    safe,
    once,      ///< must not run twice
    resumable, ///< a stream that may go on elsewhere
    flow,      ///< a stream that must not run twice
    added_route
};

/// One request, as its caller saw it.
struct seen_request
{
    std::string id;
    request_kind kind = request_kind::safe;
    int gateway = 0;
    int life = 0; ///< of the gateway's process when the request was sent
    std::string key;
    int route = 0; ///< number of an added route
    moment sent{};
    moment ended{};
    int limit_ms = 0;
    tests::received_response reply;

    bool may_run_twice() const { return kind != request_kind::once && kind != request_kind::flow; }
};

/// A span of time.
struct span
{
    moment from{};
    moment to{};
};

/// A backend that was not to get requests.
struct drained_backend
{
    int backend = 0;
    span time; ///< from the acknowledgement of its leaving to its return
};

/// What was seen of one run; filled by the callers and by whoever places the faults.
struct soak_record
{
    std::mutex mutex;
    std::vector<seen_request> requests;
    std::map<std::string, moment> withdrawn; ///< keys, and when that was acknowledged
    std::vector<moment> added_routes;        ///< by number, when that was acknowledged
    std::vector<drained_backend> drained;
    std::vector<span> disturbed;                       ///< faults of processes, links and the store
    std::map<std::string, std::vector<moment>> thawed; ///< by gateway
    std::vector<std::string> violations;               ///< found on the way

    // Read at the end.
    std::vector<std::map<std::string, int>> runs; ///< by backend, how often each request ran
    tests::json duties;

    void add(seen_request request)
    {
        std::lock_guard lock(mutex);
        requests.push_back(std::move(request));
    }

    /// Whether no fault was in force from `from` to `to`.
    bool calm(moment from, moment to) const
    {
        for (auto const& d : disturbed)
            if (d.from < to && from < d.to)
                return false;
        return true;
    }
};

/// Rate and burst of the organisation with a limit, requests a second.
inline constexpr double limited_rate = 40;

/// Holds the promises of the public pages against a record. @return what was broken
std::vector<std::string> broken_promises(soak_record const& record);

} // namespace auburnweir::soak

#endif
