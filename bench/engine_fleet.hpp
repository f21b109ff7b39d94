#ifndef AUBURNWEIR_BENCH_ENGINE_FLEET_HPP
#define AUBURNWEIR_BENCH_ENGINE_FLEET_HPP

#include "coordination/router.hpp"
#include "state/backend_table.hpp"

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <vector>

namespace auburnweir::bench
{

/// One request of the trace.
struct trace_request
{
    double at;           ///< seconds
    int prefix;          ///< shared beginning of the prompt
    std::int64_t prompt; ///< tokens
    std::int64_t answer; ///< tokens
    int entry;           ///< entry instance that receives it
};

/// Size of the modelled fleet.
struct fleet_plan
{
    int engines = 25;
    int entries = 8;
    int domains = 3;
    std::int64_t slots = 16;
    double prefill_rate = 8000;  ///< tokens a second
    double token_seconds = 0.02; ///< between tokens of one stream
    double report_lag = 0.5;     ///< seconds between load reports
    std::size_t cached_prefixes = 12;
    std::size_t subset = 24;
    double reclaim_at = -1; ///< seconds; takes the first domain away; negative: never
};

struct trace_result
{
    std::vector<double> first_token; ///< seconds, one a request
    double cost = 0;                 ///< engine seconds by price
    std::int64_t prefilled = 0;
    std::int64_t recomputed = 0; ///< tokens computed again after the reclaim
};

/// Plays a trace against modelled engines, with one router and one table an entry instance.
/// Arithmetic over a priority queue of events; deterministic by its seed.
class engine_fleet
{
public:
    engine_fleet(fleet_plan plan, coordination::routing_policy policy, std::uint64_t seed);

    trace_result play(std::vector<trace_request> const& trace);

private:
    struct job
    {
        trace_request request;
        std::int64_t done = 0; ///< tokens answered before a reclaim
        double first = -1;
        double began = 0;
    };
    struct engine
    {
        std::int64_t running = 0;
        std::vector<int> queue;
        std::set<int> active;
        std::int64_t queued_prefill = 0;
        double prefill_free_at = 0;
        std::vector<int> cached; ///< most recent last
        int domain = 0;
        double price = 1;
        bool gone = false;
    };
    struct event
    {
        double at;
        std::function<void()> run;
        std::uint64_t order;
        bool operator<(event const& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct entry
    {
        std::unique_ptr<coordination::prefix_index> prefixes;
        std::unique_ptr<coordination::router> router;
        std::unique_ptr<state::backend_table> table;
    };

    void schedule(double at, std::function<void()> run);
    void dispatch(int id);
    void start(int engine_index, int id);
    void finish(int engine_index, int id);
    void report(double at);
    void reclaim();
    std::int64_t to_compute(engine& e, job const& j);
    state::time_point now() const;

    fleet_plan plan_;
    coordination::random_engine random_;
    std::vector<engine> engines_;
    std::vector<entry> entries_;
    std::vector<job> jobs_;
    std::map<int, int> placed_;
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    double time_ = 0;
    double end_ = 0;
    trace_result result_;
};

} // namespace auburnweir::bench

#endif
