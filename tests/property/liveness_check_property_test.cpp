#include "coordination/liveness_check.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

/// One server's process runs, dies and is followed by others at its address, with the same id or
/// another one. Its responses end with their connections, in any order with questions, answers and
/// time. A response that a death cut short never counts as whole, and each is decided in time.

namespace auburnweir::coordination
{
namespace
{

using std::chrono::milliseconds;

constexpr milliseconds max_wait{1000};

struct connection
{
    int life = 0;
    state::time_point opened_at{};
};

struct response
{
    int life = 0;
    state::time_point requested_at{};
    bool is_cut = false; ///< by the death of its process
};

/// What answers at the address.
enum class process_kind
{
    none,
    other_id,
    names_life,
    names_no_life
};

class modelled_server
{
public:
    void step()
    {
        now_ += milliseconds{*rc::gen::inRange(1, 60)};
        switch (*rc::gen::inRange(0, 9))
        {
        case 0:
        case 1:
            return begin_response();
        case 2:
        case 3:
            return end_response();
        case 4:
            return *rc::gen::inRange(0, 4) == 0 ? die() : ask();
        case 5:
            return ask();
        case 6:
            return answer_question();
        case 7:
            return finish_question();
        default:
            return expire();
        }
    }

    /// Lets the remaining responses end and all of them be decided.
    void drain()
    {
        while (!running_.empty())
            end_response();
        now_ += max_wait;
        expire();
        RC_ASSERT(!check_.has_ends());
        RC_ASSERT(!check_.next_change());
        RC_ASSERT(ended_.empty());
    }

private:
    bool is_alive(int life) const { return life == life_ && kind_ != process_kind::none; }

    /// The responses of other processes than the first kinds would be refused, so none are asked
    /// for.
    bool is_listed_server() const
    {
        return kind_ == process_kind::names_life || kind_ == process_kind::names_no_life;
    }

    void begin_response()
    {
        if (!is_listed_server())
            return;
        running_.push_back({life_, now_, false});
        open_witness();
    }

    void open_witness()
    {
        if (witness_ && !is_alive(witness_->life))
        {
            check_.record_failed_connection(now_);
            witness_.reset();
        }
        if (!witness_ && kind_ != process_kind::none)
            witness_ = connection{life_, now_};
    }

    void end_response()
    {
        if (running_.empty())
            return;
        auto const index = *rc::gen::inRange<std::size_t>(0, running_.size());
        auto const ended = running_[index];
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
        last_ += end_number{1};
        ended_[last_] = ended;
        check_.add({last_, ended.requested_at, now_ + max_wait});
    }

    /// Ends all responses of the process; they are seen to end one after the other.
    void die()
    {
        for (auto& r : running_)
            r.is_cut = true;
        ++life_;
        kind_ = static_cast<process_kind>(*rc::gen::inRange(0, 4));
    }

    void ask()
    {
        if (question_ || !check_.wants_question(now_))
            return;
        was_open_ = witness_.has_value();
        question_ = witness_ ? *witness_ : connection{life_, now_};
        witness_.reset();
        check_.begin_question(question_->opened_at);
    }

    question_result result_of_question()
    {
        bool const is_new = !was_open_;
        if (is_new && kind_ == process_kind::none)
            return connection_refused{};
        if (is_new && *rc::gen::inRange(0, 5) == 0)
            return question_unsent{};
        if (!is_alive(question_->life) || *rc::gen::inRange(0, 5) == 0)
            return open_connection_failed{};
        if (kind_ == process_kind::other_id)
            return other_server_answered{};
        if (kind_ == process_kind::names_life)
            return server_answered{life_ == listed_life_};
        return server_answered{};
    }

    /// The process may die between its answer and the time when that is read.
    void answer_question()
    {
        if (question_ && !result_)
            result_ = result_of_question();
    }

    void finish_question()
    {
        if (!question_)
            return;
        answer_question();
        auto const result = *result_;
        result_.reset();
        question_.reset();
        take(check_.end_question(result, now_));
        open_witness();
    }

    void expire() { take(check_.expire(now_)); }

    void take(std::vector<decided_end> const& decided)
    {
        for (auto const& end : decided)
        {
            auto const found = ended_.find(end.number);
            RC_ASSERT(found != ended_.end());
            if (end.process == process_state::outlived_response)
                RC_ASSERT(!found->second.is_cut);
            ended_.erase(found);
        }
    }

    state::time_point now_{};
    liveness_check check_;
    end_number last_{0};
    int life_ = 0;
    int listed_life_ = 0; ///< that the directory names
    process_kind kind_ =
        *rc::gen::arbitrary<bool>() ? process_kind::names_life : process_kind::names_no_life;
    std::vector<response> running_;
    std::map<end_number, response> ended_; ///< and not decided
    std::optional<connection> witness_;
    std::optional<connection> question_;
    std::optional<question_result> result_; ///< on its way
    bool was_open_ = false;
};

RC_GTEST_PROP(liveness_check_property, response_that_a_death_cut_short_is_never_whole, ())
{
    modelled_server server;
    auto const steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i)
        server.step();
    server.drain();
}

/// Without deaths, each response is whole once a question is answered.
RC_GTEST_PROP(liveness_check_property, response_of_a_running_server_is_whole, ())
{
    liveness_check check;
    state::time_point now{};
    std::size_t whole = 0;
    auto const ends = *rc::gen::inRange<std::uint64_t>(1, 30);
    for (std::uint64_t number = 1; number <= ends; ++number)
    {
        check.add({end_number{number}, now, now + max_wait});
        now += milliseconds{*rc::gen::inRange(0, 10)};
        if (!check.wants_question(now))
            continue;
        check.begin_question(now);
        whole += check.end_question(server_answered{}, now).size();
    }
    if (check.has_ends())
    {
        check.begin_question(now);
        whole += check.end_question(server_answered{}, now).size();
    }
    RC_ASSERT(whole == ends);
}

} // namespace
} // namespace auburnweir::coordination
