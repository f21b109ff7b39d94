#include "coordination/operation_run.hpp"
#include "state/overloaded.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <deque>
#include <optional>

/// Several instances run an operation with the same key through one table row, with lost and late
/// writes, store outages, lost and refused calls of the backend server, and instances that crash at
/// any step. The oracle is the number of times that the backend server ran the operation.

namespace auburnweir::coordination
{
namespace
{

using state::ledger_row;
using state::row_version;

/// One step: the run that executes its command, and the fault to inject.
struct step
{
    std::uint8_t run;
    std::uint8_t fault;
};

/// A write that the store may apply later.
struct late_write
{
    row_version expect;
    state::ledger_record record;
};

/// Simulates the row, the backend server and the runs.
class ledger_simulation
{
public:
    explicit ledger_simulation(std::size_t runs)
    {
        for (std::size_t i = 0; i < runs; ++i)
        {
            auto const name = std::to_string(i);
            runs_.push_back(
                {operation_run(
                     state::attempt_token{name}, state::instance_id{"entry-" + name},
                     state::sha256_digest{"digest"},
                     {4, state::duration{1}, 3, state::duration{1}}),
                 std::nullopt});
        }
    }

    void execute_step(step const& s)
    {
        execute_late_write(s.fault);
        auto& simulated = runs_[s.run % runs_.size()];
        if (simulated.ended)
            return;
        if (!simulated.command)
            simulated.command = simulated.run.start();
        constexpr std::uint8_t crash = 255;
        if (s.fault == crash)
        {
            simulated.ended = true;
            return;
        }
        auto const command = *simulated.command;
        std::visit([&](auto const& c) { execute(simulated, c, s.fault); }, command);
    }

    /// Continues all runs without further faults.
    void finish_without_faults()
    {
        constexpr int max_steps = 400;
        for (int i = 0; i < max_steps; ++i)
            for (std::uint8_t r = 0; r < runs_.size(); ++r)
                execute_step({r, no_fault});
    }

    bool all_ended() const
    {
        return std::all_of(
            runs_.begin(), runs_.end(),
            [](simulated_run const& simulated) { return simulated.ended; });
    }

    void check() const
    {
        RC_ASSERT(executions_.size() <= 1U);
        for (std::size_t i = 0; i < runs_.size(); ++i)
            check(runs_[i], i);
    }

private:
    static constexpr std::uint8_t no_fault = 0;

    struct simulated_run
    {
        operation_run run;
        std::optional<operation_command> command;
        bool ended = false;
        std::optional<reply_answer> answer = {};
        std::optional<reply_refusal> refusal = {};
    };

    void check(simulated_run const& simulated, std::size_t index) const
    {
        bool const ran = executions_ == std::vector{index};
        if (simulated.refusal && simulated.refusal->outcome == state::run_outcome::not_run)
            RC_ASSERT(!ran);
        if (simulated.answer)
        {
            RC_ASSERT(executions_.size() == 1U);
            RC_ASSERT(simulated.answer->answer.body == std::to_string(executions_[0]));
        }
    }

    bool apply(late_write const& w)
    {
        auto const current = row_ ? row_->version : row_version{0};
        if (current != w.expect)
            return false;
        row_ = ledger_row{w.expect + row_version{1}, w.record};
        return true;
    }

    void execute_late_write(std::uint8_t fault)
    {
        if (late_writes_.empty() || fault % 3 != 1)
            return;
        apply(late_writes_.front());
        late_writes_.pop_front();
    }

    void execute(simulated_run& simulated, write_row const& w, std::uint8_t fault)
    {
        late_write const write{w.expect, w.record};
        switch (fault % 6)
        {
        case 1: // refused before any effect
            simulated.command = simulated.run.handle(ledger_write_refused{});
            return;
        case 2: // takes effect, its response is lost
            apply(write);
            simulated.command = simulated.run.handle(ledger_write_response_lost{});
            return;
        case 3: // no response, applied later
            late_writes_.push_back(write);
            simulated.command = simulated.run.handle(ledger_write_response_lost{});
            return;
        case 4: // applied twice
            late_writes_.push_back(write);
            break;
        default:
            break;
        }
        if (apply(write))
            simulated.command = simulated.run.handle(ledger_write_done{row_->version});
        else
            simulated.command = simulated.run.handle(ledger_write_conflict{row_});
    }

    void execute(simulated_run& simulated, read_row const&, std::uint8_t fault)
    {
        if (fault % 4 == 1)
            simulated.command = simulated.run.handle(ledger_read_failed{});
        else
            simulated.command = simulated.run.handle(ledger_row_read{row_});
    }

    void execute(simulated_run& simulated, wait const&, std::uint8_t)
    {
        simulated.command = simulated.run.handle(wait_elapsed{});
    }

    void execute(simulated_run& simulated, dispatch const&, std::uint8_t fault)
    {
        auto const index = static_cast<std::size_t>(&simulated - runs_.data());
        switch (fault % 5)
        {
        case 1:
            simulated.command = simulated.run.handle(backend_did_not_run{});
            return;
        case 2:
            simulated.command = simulated.run.handle(backend_response_lost{});
            return;
        case 3:
            executions_.push_back(index);
            simulated.command = simulated.run.handle(backend_response_lost{});
            return;
        default:
            executions_.push_back(index);
            simulated.command =
                simulated.run.handle(backend_answered{{200, "text/plain", std::to_string(index)}});
        }
    }

    void execute(simulated_run& simulated, reply_answer const& r, std::uint8_t)
    {
        simulated.answer = r;
        simulated.ended = true;
    }

    void execute(simulated_run& simulated, reply_refusal const& r, std::uint8_t)
    {
        simulated.refusal = r;
        simulated.ended = true;
    }

    std::vector<simulated_run> runs_;
    std::optional<ledger_row> row_;
    std::deque<late_write> late_writes_;
    std::vector<std::size_t> executions_;
};

rc::Gen<std::vector<step>> steps()
{
    auto const one = rc::gen::map(
        rc::gen::pair(rc::gen::arbitrary<std::uint8_t>(), rc::gen::arbitrary<std::uint8_t>()),
        [](std::pair<std::uint8_t, std::uint8_t> const& p) {
            return step{p.first, p.second};
        });
    return rc::gen::scale(8, rc::gen::container<std::vector<step>>(one));
}

void showValue(step const& s, std::ostream& out)
{
    out << "run " << int{s.run} << " fault " << int{s.fault};
}

RC_GTEST_PROP(ledger_property, any_faults_run_the_operation_at_most_once, ())
{
    auto const plan = *steps();
    ledger_simulation simulation(*rc::gen::inRange<std::size_t>(1, 5));
    for (auto const& s : plan)
    {
        simulation.execute_step(s);
        simulation.check();
    }
    simulation.finish_without_faults();
    simulation.check();
    RC_ASSERT(simulation.all_ended());
}

} // namespace
} // namespace auburnweir::coordination
