#include "transport/liveness_checker.hpp"

#include "transport/clock.hpp"
#include "transport/http_connection.hpp"

#include <algorithm>
#include <random>
#include <spdlog/fmt/fmt.h>

namespace auburnweir::transport
{

namespace
{

using coordination::process_state;
using coordination::question_result;

/// A question without an answer for longer is sent again on another connection.
constexpr state::duration max_question_time = std::chrono::milliseconds{300};

constexpr state::byte_count max_answer{256LL * 1024};

} // namespace

liveness_checker::liveness_checker(net::io_context& io, http_client& http)
    : io_(io)
    , http_(http)
    , question_prefix_(
          fmt::format("liveness-{:08x}{:08x}-", std::random_device{}(), std::random_device{}()))
{
}

liveness_checker::checked_server_ptr liveness_checker::entry_of(asked_server const& server)
{
    auto& entry = servers_[server.life];
    if (!entry)
        entry = std::make_shared<checked_server>();
    entry->server = server;
    entry->used_at = now();
    auto const found = entry;
    if (servers_.size() > max_servers)
        forget_least_recently_used();
    return found;
}

void liveness_checker::forget_least_recently_used()
{
    servers_.erase(std::ranges::min_element(
        servers_, {}, [](auto const& entry) { return entry.second->used_at; }));
}

void liveness_checker::prepare(asked_server const& server)
{
    auto checked = entry_of(server);
    if (checked->witness && checked->witness->is_stale())
    {
        checked->check.record_failed_connection(now());
        checked->witness.reset();
    }
    if (checked->witness || checked->is_opening || now() < checked->no_witness_until)
        return;
    if (witnesses() >= max_witnesses)
        return;
    checked->is_opening = true;
    net::co_spawn(io_, open_witness(std::move(checked)), net::detached);
}

net::awaitable<void> liveness_checker::open_witness(checked_server_ptr checked)
{
    auto opened = co_await http_.connect(checked->server.life.address, max_question_time);
    std::optional<answered_question> answered;
    if (opened.connection)
        answered = co_await exchange(checked, std::move(opened.connection));
    checked->is_opening = false;
    bool const is_usable = answered && answered->kept;
    if (!is_usable)
        checked->no_witness_until = now() + max_unused_time;
    else if (!checked->witness)
        checked->witness = std::move(answered->kept);
}

net::awaitable<bool> liveness_checker::has_outlived(
    asked_server server, state::time_point requested_at, state::time_point deadline)
{
    auto const checked = entry_of(server);
    auto const call = std::make_shared<waiting_call>(io_);
    last_end_ += coordination::end_number{1};
    auto const number = last_end_;
    coordination::connection_end const end{number, requested_at, deadline};
    checked->calls.emplace(number, call);
    checked->check.add(end);
    if (!checked->is_asking)
    {
        checked->is_asking = true;
        net::co_spawn(io_, ask_repeatedly(checked), net::detached);
    }
    if (!co_await call->decided->wait(deadline - now()))
        settle(*checked, checked->check.expire(now()));
    checked->calls.erase(number);
    co_return call->process == process_state::outlived_response;
}

void liveness_checker::settle(
    checked_server& checked, std::vector<coordination::decided_end> const& decided)
{
    for (auto const& end : decided)
    {
        auto const found = checked.calls.find(end.number);
        if (found == checked.calls.end())
            continue;
        found->second->process = end.process;
        found->second->decided->notify();
    }
}

net::awaitable<void> liveness_checker::ask_repeatedly(checked_server_ptr checked)
{
    auto& check = checked->check;
    for (;;)
    {
        settle(*checked, check.expire(now()));
        auto const next = check.next_change();
        if (!next)
            break;
        if (check.wants_question(now()))
        {
            auto const result = co_await ask(checked);
            settle(*checked, check.end_question(result, now()));
        }
        else
            co_await sleep_for(io_, *next - now());
    }
    checked->is_asking = false;
}

net::awaitable<question_result> liveness_checker::ask(checked_server_ptr checked)
{
    auto witness = std::exchange(checked->witness, nullptr);
    if (witness && now() - witness->idle_since <= witness->max_idle_time)
        co_return co_await ask_on(checked, std::move(witness));
    if (witness && witness->is_stale())
        checked->check.record_failed_connection(now());
    auto opened = co_await http_.connect(checked->server.life.address, max_question_time);
    if (opened.connection)
        co_return co_await ask_on(checked, std::move(opened.connection));
    checked->check.begin_question(now());
    question_result result = coordination::question_unsent{};
    if (opened.error == net::error::connection_refused)
        result = coordination::connection_refused{};
    co_return result;
}

net::awaitable<question_result> liveness_checker::ask_on(
    checked_server_ptr checked, http_connection_ptr c)
{
    checked->check.begin_question(c->opened_at);
    // What was received before the question does not answer it.
    if (c->is_stale())
        co_return coordination::open_connection_failed{};
    auto answered = co_await exchange(checked, std::move(c));
    if (!answered)
        co_return coordination::open_connection_failed{};
    if (!checked->witness)
        checked->witness = std::move(answered->kept);
    if (!checked->witness)
        prepare(checked->server);
    co_return checked->server.read_answer(answered->answer);
}

net::awaitable<std::optional<liveness_checker::answered_question>> liveness_checker::exchange(
    checked_server_ptr checked, http_connection_ptr c)
{
    ++questions_;
    state::request_id const id{question_prefix_ + std::to_string(++last_question_)};
    auto question = checked->server.make_question(id);
    call_policy policy;
    policy.header_timeout = max_question_time;
    policy.owner_of = [&](int, http_fields const& headers)
    {
        auto const named = checked->server.request_named_by(headers);
        if (named.empty())
            return response_owner::unnamed;
        return named == id ? response_owner::this_call : response_owner::earlier_call;
    };
    auto opened = co_await http_.open_on(std::move(c), std::move(question), policy);
    if (!opened)
        co_return std::nullopt;
    auto& stream = opened.value();
    answered_question result;
    result.answer.status = stream.status();
    result.answer.headers = stream.headers();
    body_limits limits;
    limits.size = max_answer;
    limits.timeout = max_question_time;
    // The header proves that the process runs; the body tells more of it if it is whole.
    if (auto body = co_await stream.read_body(limits))
        result.answer.body = std::move(body.value());
    result.kept = stream.take_connection();
    if (result.kept)
        result.kept->idle_since = now();
    co_return result;
}

std::size_t liveness_checker::witnesses() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        servers_,
        [](auto const& entry) { return entry.second->witness || entry.second->is_opening; }));
}

void liveness_checker::close_unused()
{
    std::erase_if(
        servers_,
        [](auto const& entry)
        {
            auto const& checked = *entry.second;
            return checked.calls.empty() && now() - checked.used_at > max_unused_time;
        });
}

void liveness_checker::close_idle()
{
    for (auto const& [life, checked] : servers_)
        checked->witness.reset();
}

} // namespace auburnweir::transport
