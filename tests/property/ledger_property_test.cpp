#include "coordination/operation_run.hpp"
#include "state/overloaded.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <deque>
#include <optional>

/// Several instances run the same key through one table row, with lost and late writes, store
/// outages, lost and refused back-end calls, and instances that die at any step. The oracle is the
/// number of times that the back end really ran the operation.

namespace auburnweir::coordination
{
namespace
{

using state::ledger_row;
using state::row_version;

/// One step: which run acts, and what goes wrong.
struct step
{
    std::uint8_t run;
    std::uint8_t fault;
};

/// A write that the store may carry out later.
struct late_write
{
    row_version expect;
    state::ledger_record record;
};

/// The row, the back end and the runs.
class world
{
public:
    explicit world(std::size_t runs)
    {
        for (std::size_t i = 0; i < runs; ++i)
        {
            auto const name = std::to_string(i);
            players_.push_back(
                {operation_run(
                     state::attempt_token{name}, state::instance_id{"entry-" + name},
                     state::sha256_digest{"digest"},
                     {4, state::duration{1}, 3, state::duration{1}}),
                 std::nullopt});
        }
    }

    void act(step const& s)
    {
        carry_out_late_write(s.fault);
        auto& p = players_[s.run % players_.size()];
        if (p.ended)
            return;
        if (!p.command)
            p.command = p.run.start();
        constexpr std::uint8_t death = 255;
        if (s.fault == death)
        {
            p.ended = true;
            return;
        }
        auto const command = *p.command;
        std::visit([&](auto const& c) { carry_out(p, c, s.fault); }, command);
    }

    /// Ends the world without further faults.
    void settle()
    {
        constexpr int most_steps = 400;
        for (int i = 0; i < most_steps; ++i)
            for (std::uint8_t r = 0; r < players_.size(); ++r)
                act({r, no_fault});
    }

    bool all_ended() const
    {
        return std::all_of(
            players_.begin(), players_.end(), [](player const& p) { return p.ended; });
    }

    void check() const
    {
        RC_ASSERT(executions_.size() <= 1U);
        for (std::size_t i = 0; i < players_.size(); ++i)
            check(players_[i], i);
    }

private:
    static constexpr std::uint8_t no_fault = 0;

    struct player
    {
        operation_run run;
        std::optional<operation_command> command;
        bool ended = false;
        std::optional<reply_answer> answer = {};
        std::optional<reply_refusal> refusal = {};
    };

    void check(player const& p, std::size_t index) const
    {
        bool const ran = executions_ == std::vector{index};
        if (p.refusal && p.refusal->outcome == state::run_outcome::not_run)
            RC_ASSERT(!ran);
        if (p.answer)
        {
            RC_ASSERT(executions_.size() == 1U);
            RC_ASSERT(p.answer->answer.body == std::to_string(executions_[0]));
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

    void carry_out_late_write(std::uint8_t fault)
    {
        if (late_.empty() || fault % 3 != 1)
            return;
        apply(late_.front());
        late_.pop_front();
    }

    void carry_out(player& p, write_row const& w, std::uint8_t fault)
    {
        late_write const write{w.expect, w.record};
        switch (fault % 6)
        {
        case 1: // refused before any effect
            p.command = p.run.handle(ledger_write_refused{});
            return;
        case 2: // takes effect, the answer is lost
            apply(write);
            p.command = p.run.handle(ledger_write_lost{});
            return;
        case 3: // lost on the way, arrives later
            late_.push_back(write);
            p.command = p.run.handle(ledger_write_lost{});
            return;
        case 4: // arrives twice
            late_.push_back(write);
            break;
        default:
            break;
        }
        if (apply(write))
            p.command = p.run.handle(ledger_write_done{row_->version});
        else
            p.command = p.run.handle(ledger_write_conflict{row_});
    }

    void carry_out(player& p, read_row const&, std::uint8_t fault)
    {
        if (fault % 4 == 1)
            p.command = p.run.handle(ledger_read_failed{});
        else
            p.command = p.run.handle(ledger_row_read{row_});
    }

    void carry_out(player& p, wait const&, std::uint8_t)
    {
        p.command = p.run.handle(wait_elapsed{});
    }

    void carry_out(player& p, dispatch const&, std::uint8_t fault)
    {
        auto const index = static_cast<std::size_t>(&p - players_.data());
        switch (fault % 5)
        {
        case 1:
            p.command = p.run.handle(backend_did_not_run{});
            return;
        case 2:
            p.command = p.run.handle(backend_response_lost{});
            return;
        case 3:
            executions_.push_back(index);
            p.command = p.run.handle(backend_response_lost{});
            return;
        default:
            executions_.push_back(index);
            p.command = p.run.handle(backend_answered{{200, "text/plain", std::to_string(index)}});
        }
    }

    void carry_out(player& p, reply_answer const& r, std::uint8_t)
    {
        p.answer = r;
        p.ended = true;
    }

    void carry_out(player& p, reply_refusal const& r, std::uint8_t)
    {
        p.refusal = r;
        p.ended = true;
    }

    std::vector<player> players_;
    std::optional<ledger_row> row_;
    std::deque<late_write> late_;
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
    world w(*rc::gen::inRange<std::size_t>(1, 5));
    for (auto const& s : plan)
    {
        w.act(s);
        w.check();
    }
    w.settle();
    w.check();
    RC_ASSERT(w.all_ended());
}

} // namespace
} // namespace auburnweir::coordination
