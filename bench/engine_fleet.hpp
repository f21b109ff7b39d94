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

/// A request of the trace.
struct trace_request
{
    double arrival_seconds;
    int prefix; ///< number of the prefix that prompts share
    std::int64_t prompt_tokens;
    std::int64_t answer_tokens;
    int entry; ///< index of the entry instance that receives the request
};

/// Size and speed of the simulated fleet.
struct fleet_parameters
{
    int engines = 25;
    int entries = 8;
    int domains = 3;
    std::int64_t slots = 16;
    double prefill_tokens_per_second = 8000;
    double token_interval_seconds = 0.02; ///< between tokens of one stream
    double report_interval_seconds = 0.5; ///< between load reports of an engine
    std::size_t max_cached_prefixes = 12;
    std::size_t subset_size = 24;
    double reclaim_at_seconds = -1; ///< reclaims the engines of the first domain; negative: never
};

struct trace_result
{
    std::vector<double> first_token_seconds; ///< time to the first token of each request
    double cost = 0; ///< seconds of each request on an engine, multiplied by its price per hour
    std::int64_t prefilled_tokens = 0;
    std::int64_t recomputed_tokens = 0; ///< tokens prefilled again after the reclaim
};

/// Simulates a trace on modelled engines, with a router and a backend table per entry instance.
/// Processes events from a priority queue without real time; a seed always gives the same result.
class engine_fleet
{
public:
    engine_fleet(
        fleet_parameters parameters, coordination::routing_policy policy, std::uint64_t seed);

    trace_result simulate(std::vector<trace_request> const& trace);

private:
    struct job
    {
        trace_request request;
        std::int64_t answered_tokens = 0; ///< tokens generated before a reclaim
        double first_token_at = -1;
        double started_at = 0;
    };
    struct engine
    {
        std::int64_t running = 0;
        std::vector<int> queue;
        std::set<int> active;
        std::int64_t queued_prefill = 0;
        double prefill_free_at = 0;
        std::vector<int> cached_prefixes; ///< least recently used first
        int domain = 0;
        double price = 1;
        bool reclaimed = false;
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
    std::int64_t prefill_tokens(engine& e, job const& j);
    state::time_point now() const;

    fleet_parameters parameters_;
    coordination::random_engine random_;
    std::vector<engine> engines_;
    std::vector<entry> entries_;
    std::vector<job> jobs_;
    std::map<int, int> engine_of_job_;
    std::priority_queue<event> events_;
    std::uint64_t last_order_ = 0;
    double now_seconds_ = 0;
    double last_arrival_seconds_ = 0;
    trace_result result_;
};

} // namespace auburnweir::bench

#endif
