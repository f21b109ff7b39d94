#ifndef AUBURNWEIR_SOAK_DEPLOYMENT_HPP
#define AUBURNWEIR_SOAK_DEPLOYMENT_HPP

#include "soak/soak_plan.hpp"
#include "soak/soak_record.hpp"
#include "support/gateway_deployment.hpp"
#include "support/temporary_file.hpp"

#include <atomic>
#include <functional>

namespace auburnweir::soak
{

/// The processes of one run, and the injection of faults into them.
///
/// One thread injects the faults. `gateway_port`, `incarnation`, `current_key` and
/// `added_route_count` are thread-safe.
class soak_deployment
{
public:
    soak_deployment(
        soak_size const& size, backend_plan backends, std::string const& logs, soak_record& record);

    /// Injects the faults of a plan at their times and removes each after its duration.
    void run(std::vector<planned_fault> const& plan);

    /// Waits until all gateways are ready. @return false when one is not within `timeout`
    bool wait_for_recovery(milliseconds timeout);

    /// Adds the run counts of the backends and the duty calls of the platform to the record.
    void collect_observations();

    std::uint16_t gateway_port(int index) const { return deployment_.port(index); }
    int incarnation(int gateway) const { return incarnations_[gateway]; }

    /// The key in force of the organisation whose keys change.
    std::string current_key() const;
    int added_route_count() const { return added_route_count_; }

private:
    struct scheduled_action
    {
        time_point at{};
        std::function<void()> callback;
    };

    void inject(soak_fault const& fault);
    void perform(kill_gateway const& f);
    void perform(pause_gateway const& f);
    void perform(stop_gateway const& f);
    void perform(disrupt_link const& f);
    void perform(disrupt_store const& f);
    void perform(restore_store const& f);
    void perform(disrupt_backend const& f);
    void perform(drain_backend const& f);
    void perform(change_key const& f);
    void perform(add_route const& f);
    void perform(cut_gateway const& f);
    void perform(kill_backend const& f);
    void perform(stop_backend const& f);
    void perform(pause_backend const& f);
    void perform(kill_all_backends const& f);

    /// Sets `faults` now and `no_faults` after `duration_ms`; with null the fault ends by itself.
    void set_temporarily(
        int duration_ms, tests::json const& faults, tests::json const& no_faults,
        std::function<void(tests::json const&)> const& set);
    void schedule_after(int delay_ms, std::function<void()> callback);
    void run_scheduled_actions(time_point until);
    void record_disruption(int duration_ms);
    void write_current_configuration();
    void restart(int gateway);

    /// Polls a gateway after SIGTERM, kills it at the deadline and starts it again.
    void poll_stopping_gateway(int gateway, time_point deadline);

    /// Ends a backend's process and plans what follows.
    void end_backend(int index, int signal, backend_return const& after);

    /// Starts a process at the address of a backend whose process has ended. @return false when
    /// another process of this machine holds the port
    bool start_backend(int index, std::string const& id);

    /// Lists a backend as a new lifetime, after a start of its process unless its successor runs.
    void return_backend(int index, backend_successor successor, int tries_left = 50);

    void list_backend(int index);

    /// Tells a backend how to send its responses and where to record its runs.
    void set_behaviour(int index);

    /// Sets faults of a backend, after its pause if it is paused. A new process has none.
    void set_backend_faults(int index, tests::json const& faults);

    std::string run_log(int backend) const;

    void restart_exited_gateways();
    void check_memory(int gateway);

    soak_size size_;
    backend_plan backend_plan_;
    soak_record& record_;
    tests::temporary_folder run_logs_;
    tests::gateway_deployment deployment_;
    std::vector<scheduled_action> scheduled_actions_;
    std::vector<std::atomic<int>> incarnations_;
    std::vector<bool> unavailable_; ///< gateways that are down, paused or stopping
    std::vector<bool> draining_;
    std::vector<bool> ended_;  ///< backends that are not listed as a new lifetime yet
    std::vector<bool> paused_; ///< backends
    std::vector<std::int64_t> backend_incarnations_;
    std::atomic<int> key_number_{1};
    std::atomic<int> added_route_count_{0};
};

} // namespace auburnweir::soak

#endif
