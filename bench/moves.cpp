#include "rollout_trace.hpp"

#include <algorithm>
#include <cstdio>
#include <popt.h>

/// Compares the rollout controller with a baseline and the target over many seeds.

namespace
{

using namespace auburnweir::bench;

struct summary
{
    int done = 0;
    int taken_back = 0;
    int other = 0;
    std::vector<double> faulty_share;
    std::vector<double> time_to_stop;
};

summary run(rollout_fault fault, rollout_policy const& policy, int seeds)
{
    summary s;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        rollout_scenario scenario;
        scenario.fault = fault;
        scenario.seed = static_cast<std::uint64_t>(seed);
        auto const o = simulate_rollout(scenario, policy);
        s.done += o.ended == "done" ? 1 : 0;
        s.taken_back += o.ended == "taken_back" ? 1 : 0;
        s.other += o.ended == "done" || o.ended == "taken_back" ? 0 : 1;
        s.faulty_share.push_back(o.faulty_share);
        if (o.time_to_stop)
            s.time_to_stop.push_back(*o.time_to_stop);
    }
    return s;
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

} // namespace

int main(int argc, char** argv)
{
    int seeds = 200;
    poptOption const options[] = {
        {"seeds", 0, POPT_ARG_INT, &seeds, 0, "traces for each fault", "NUMBER"},
        POPT_AUTOHELP POPT_TABLEEND};
    auto* const context = poptGetContext(nullptr, argc, const_cast<char const**>(argv), options, 0);
    while (poptGetNextOpt(context) >= 0)
    {
    }
    poptFreeContext(context);
    std::printf("fault,policy,seeds,done,taken_back,other,worst_bad_share,target_bad_share,"
                "p50_time_to_stop_s,p95_time_to_stop_s\n");
    for (int f = 0; f <= static_cast<int>(rollout_fault::thin_traffic); ++f)
    {
        auto const fault = static_cast<rollout_fault>(f);
        for (auto const& policy :
             {rollout_policy{fixed_threshold_policy{}}, rollout_policy{sequential_policy{}}})
        {
            auto const s = run(fault, policy, seeds);
            bool const is_sequential = std::holds_alternative<sequential_policy>(policy);
            std::printf(
                "%.*s,%s,%d,%d,%d,%d,%.5f,0.01,%.1f,%.1f\n",
                static_cast<int>(name_of(fault).size()), name_of(fault).data(),
                is_sequential ? "sequential" : "fixed", seeds, s.done, s.taken_back, s.other,
                quantile(s.faulty_share, 1), quantile(s.time_to_stop, .5),
                quantile(s.time_to_stop, .95));
        }
    }
    return 0;
}
