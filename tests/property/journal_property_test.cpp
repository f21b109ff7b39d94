#include "state/journal.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

/// Compares the journal with a model: a vector of tokens and the number of readable ones.

namespace auburnweir::state
{
namespace
{

struct model
{
    std::vector<std::string> tokens;
    std::size_t released = 0;
    bool held = false;
    bool finished = false;
    int attempt = 0;

    std::size_t visible() const { return held ? released : tokens.size(); }
};

using command = rc::state::Command<model, journal>;

void check_equal(model const& m, journal const& j)
{
    RC_ASSERT(j.last() == sequence_number{m.tokens.size()});
    RC_ASSERT(j.finished().has_value() == m.finished);
    auto const chunk = j.read_after({}, 100000);
    std::vector<std::string> const expected(
        m.tokens.begin(), m.tokens.begin() + static_cast<std::ptrdiff_t>(m.visible()));
    RC_ASSERT(chunk.tokens == expected);
    RC_ASSERT(chunk.finish.has_value() == (m.finished && m.visible() == m.tokens.size()));
}

attempt_token token_of(int attempt)
{
    return attempt_token{std::to_string(attempt)};
}

struct append_token : command
{
    std::string text = *rc::gen::string<std::string>();
    int attempts_behind = *rc::gen::inRange(0, 3); ///< the sender's attempts before the current one

    void apply(model& m) const override
    {
        if (attempts_behind == 0 && !m.finished)
            m.tokens.push_back(text);
    }
    void run(model const& m, journal& j) const override
    {
        j.append(token_of(m.attempt - attempts_behind), text);
        check_equal(nextState(m), j);
    }
};

struct begin_attempt : command
{
    void apply(model& m) const override { ++m.attempt; }
    void run(model const& m, journal& j) const override
    {
        j.begin_attempt(token_of(m.attempt + 1));
        check_equal(nextState(m), j);
    }
};

struct finish_answer : command
{
    int attempts_behind = *rc::gen::inRange(0, 2);

    void apply(model& m) const override { m.finished = m.finished || attempts_behind == 0; }
    void run(model const& m, journal& j) const override
    {
        j.finish(token_of(m.attempt - attempts_behind), finish_reason::stop);
        check_equal(nextState(m), j);
    }
};

struct hold : command
{
    void apply(model& m) const override
    {
        m.held = true;
        m.released = m.tokens.size();
    }
    void run(model const& m, journal& j) const override
    {
        j.hold();
        check_equal(nextState(m), j);
    }
};

struct release : command
{
    std::size_t upto = *rc::gen::inRange<std::size_t>(0, 30);

    void apply(model& m) const override
    {
        m.released = std::max(m.released, std::min(upto, m.tokens.size()));
    }
    void run(model const& m, journal& j) const override
    {
        j.release(sequence_number{upto});
        check_equal(nextState(m), j);
    }
};

struct merge_chunk : command
{
    std::size_t first = *rc::gen::inRange<std::size_t>(0, 30);
    std::vector<std::string> tokens =
        *rc::gen::container<std::vector<std::string>>(rc::gen::string<std::string>());

    /// True when the chunk follows the answer without a gap and agrees with it.
    bool is_mergeable(model const& m) const
    {
        if (first == 0 || first > m.tokens.size() + 1)
            return false;
        for (std::size_t i = 0; i < tokens.size() && first - 1 + i < m.tokens.size(); ++i)
            if (m.tokens[first - 1 + i] != tokens[i])
                return false;
        return !m.finished;
    }
    void apply(model& m) const override
    {
        if (!is_mergeable(m))
            return;
        for (auto i = m.tokens.size(); i < first - 1 + tokens.size(); ++i)
            m.tokens.push_back(tokens[i - (first - 1)]);
    }
    void run(model const& m, journal& j) const override
    {
        j.merge({sequence_number{first}, tokens, std::nullopt});
        check_equal(nextState(m), j);
    }
};

struct yield_to_other : command
{
    void apply(model& m) const override
    {
        if (m.held && !m.finished)
            m.tokens.resize(m.released);
        m.held = false;
        m.attempt += 10;
    }
    void run(model const& m, journal& j) const override
    {
        j.yield_to(instance_id{"other"});
        auto const next = nextState(m);
        check_equal(next, j);
        j.begin_attempt(token_of(next.attempt));
    }
};

RC_GTEST_PROP(journal_property, any_command_sequence_matches_the_vector_model, ())
{
    chat_request request;
    model const initial;
    journal subject(request, instance_id{"owner"}, generation_tag{"g"});
    subject.begin_attempt(token_of(0));
    rc::state::check(
        initial, subject,
        rc::state::gen::execOneOfWithArgs<
            append_token, append_token, begin_attempt, finish_answer, hold, release, merge_chunk,
            yield_to_other>());
}

} // namespace
} // namespace auburnweir::state
