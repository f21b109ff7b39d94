#ifndef AUBURNWEIR_SOAK_DEPLOYMENT_HPP
#define AUBURNWEIR_SOAK_DEPLOYMENT_HPP

#include "soak/soak_plan.hpp"
#include "soak/soak_record.hpp"
#include "support/gateway_deployment.hpp"

#include <atomic>
#include <functional>

namespace auburnweir::soak
{

/// The processes of one run, and the faults that are placed on them.
///
/// Faults are placed by one thread; `gateway_port`, `life`, `key` and `routes` are thread-safe.
class soak_deployment
{
public:
    soak_deployment(soak_size const& size, std::string const& logs, soak_record& record);

    /// Places the plan's faults at their times and ends each when it is over.
    void play(std::vector<planned_fault> const& plan);

    /// Waits until all gateways are ready again. @return false when they are not within `limit`
    bool recover(milliseconds limit);

    /// Stops what is paused and reads what the backends and the platform saw.
    void collect();

    std::uint16_t gateway_port(int index) const { return deployment_.port(index); }
    int life(int gateway) const { return lives_[gateway]; }

    /// A key of the organisation whose keys change.
    std::string key() const;
    int routes() const { return route_count_; }

private:
    /// What ends a fault.
    struct ending
    {
        moment at{};
        std::function<void()> undo;
    };

    void place(soak_fault const& fault);
    void place_one(kill_gateway const& f);
    void place_one(pause_gateway const& f);
    void place_one(stop_gateway const& f);
    void place_one(harm_link const& f);
    void place_one(harm_store const& f);
    void place_one(harm_backend const& f);
    void place_one(drain_backend const& f);
    void place_one(change_key const& f);
    void place_one(add_route const& f);

    /// Sets a fault now, and what ends it later; some end by themselves.
    void for_a_time(
        int ms, tests::json const& harm, tests::json const& heal,
        std::function<void(tests::json const&)> const& set);
    void after(int ms, std::function<void()> undo);
    void run_endings(moment until);
    void disturb(int ms);
    void configure();
    void restart(int gateway);
    void await_end(int gateway, moment until);
    void look_for_exits();

    soak_size size_;
    soak_record& record_;
    tests::gateway_deployment deployment_;
    std::vector<ending> endings_;
    std::vector<std::atomic<int>> lives_;
    std::vector<bool> away_; ///< gateways that are down, paused or stopping
    std::vector<bool> draining_;
    std::vector<std::int64_t> backend_lives_;
    std::atomic<int> key_number_{1};
    std::atomic<int> route_count_{0};
};

} // namespace auburnweir::soak

#endif
