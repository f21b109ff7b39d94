#include "transport/chat_driver.hpp"

#include "protocol/chat_codec.hpp"
#include "protocol/digest.hpp"
#include "protocol/engine_codec.hpp"
#include "state/overloaded.hpp"
#include "transport/clock.hpp"
#include "transport/journal_watch.hpp"
#include "transport/log.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr std::size_t attempt_token_bytes = 8;
constexpr std::uint64_t max_undelivered_tokens = 512;
constexpr state::duration min_read_timeout = std::chrono::milliseconds{1};
constexpr state::duration replan_interval = std::chrono::milliseconds{250};
constexpr state::duration no_backend_retry_delay = std::chrono::milliseconds{100};
constexpr state::duration retry_delay_after_start = std::chrono::milliseconds{500};
constexpr state::duration reader_wait_interval = std::chrono::milliseconds{200};
constexpr int max_no_backend_retries = 20;

/// Limit for retries of an answer whose first tokens exist.
constexpr int max_retries_after_start = 240;

constexpr int http_ok = 200;
constexpr int min_client_error_status = 400;
constexpr int http_too_many_requests = 429;
constexpr int min_server_error_status = 500;
constexpr int http_service_unavailable = 503;
constexpr state::byte_count max_remaining_stream{65536};
constexpr double min_elapsed_seconds = 0.001;

std::string prompt_text(state::chat_request const& request)
{
    std::string text;
    for (auto const& m : request.messages)
        text += m.role + "\n" + m.content + "\n";
    return text;
}

} // namespace

chat_driver::chat_driver(
    entry_context& context, worker& home, state::journal_ptr journal, admission_slot slot)
    : context_(context)
    , worker_(home)
    , journal_(std::move(journal))
    , slot_(std::move(slot))
    , activity_(context.activity.begin())
{
    auto const& request = journal_->request();
    routing_.prompt = prompt_tokens(request);
    routing_.prefix = coordination::hash_prefix(prompt_text(request));
    routing_.region = context_.self.region;
}

void chat_driver::start()
{
    net::co_spawn(
        worker_.io(), [self = shared_from_this()] { return self->run(); }, net::detached);
}

bool chat_driver::is_abandoned() const
{
    return needs_reader_ && now() - journal_->last_read() > context_.settings.abandon_after;
}

bool chat_driver::is_past_deadline() const
{
    return deadline_ && now() >= *deadline_;
}

bool chat_driver::is_owned_elsewhere() const
{
    return journal_->owner() != context_.self.id;
}

state::duration chat_driver::read_timeout() const
{
    auto const stall = context_.settings.stall_timeout;
    if (!deadline_)
        return stall;
    auto const time_left = std::max(*deadline_ - now(), min_read_timeout);
    return std::min(stall, time_left);
}

std::optional<state::backend_view> chat_driver::choose_backend()
{
    auto const candidates = context_.candidates(journal_->request().header.service);
    auto chosen = context_.tables.router.choose(candidates, routing_, now(), worker_.random());
    if (!chosen && !candidates.empty())
    {
        routing_.tried_backends.clear();
        chosen = context_.tables.router.choose(candidates, routing_, now(), worker_.random());
    }
    if (!chosen)
        return std::nullopt;
    return context_.tables.backends.find(*chosen);
}

net::awaitable<void> chat_driver::run()
{
    auto const& service = journal_->request().header.service;
    context_.tables.retries.record_request(service);
    int no_backend_retries = 0;
    for (;;)
    {
        if (is_past_deadline())
        {
            journal_->fail(state::refusal_reason::deadline_exceeded);
            break;
        }
        auto const backend = choose_backend();
        if (!backend)
        {
            bool const has_tokens = journal_->last().count() > 0;
            if (++no_backend_retries >
                (has_tokens ? max_retries_after_start : max_no_backend_retries))
            {
                journal_->fail(state::refusal_reason::no_backend);
                break;
            }
            co_await sleep_for(
                worker_.io(), has_tokens ? retry_delay_after_start : no_backend_retry_delay);
            continue;
        }
        bool const needs_another_attempt = co_await perform_attempt(*backend);
        if (!needs_another_attempt)
            break;
    }
    if (journal_->finished() == state::finish_reason::failed)
        log(log_event::stream_failed, {{"request", journal_->request().header.id.str()}});
    context_.tables.journals.retire(journal_, now(), context_.settings.journal_kept);
}

net::awaitable<bool> chat_driver::perform_attempt(state::backend_view backend)
{
    count_resumption(backend);
    auto const hit = context_.tables.prefixes.expected_hit(backend.id, routing_.prefix, now());
    if (hit.count() > 0)
        context_.tables.counters.increment(state::event_counter::prefix_hits);
    ++attempt_count_;
    auto const outcome = co_await run_attempt(backend);
    previous_ = backend;
    if (auto const* failed = std::get_if<attempt_failed>(&outcome))
        co_return co_await handle_failed_attempt(backend, failed->reason);
    co_return std::visit(
        state::overloaded{
            [&](attempt_finished const&)
            {
                context_.tables.backends.record_success(backend.id);
                return false;
            },
            [&](attempt_stopped const&)
            {
                if (!is_owned_elsewhere())
                    journal_->fail(
                        is_past_deadline() ? state::refusal_reason::deadline_exceeded
                                           : state::refusal_reason::caller_left);
                return false;
            },
            [&](attempt_rejected const&)
            {
                journal_->fail(state::refusal_reason::backend_failed);
                return false;
            },
            [&](attempt_migrated const& migrated)
            {
                kv_handle_ = migrated.kv_handle;
                routing_.tried_backends = {backend.id};
                routing_.failed_domains = {backend.failure_domain};
                context_.tables.counters.increment(state::retry_reason::backend_leaving);
                log(log_event::stream_moved,
                    {{"request", journal_->request().header.id.str()}, {"from", backend.id.str()}});
                return true;
            },
            [](attempt_failed const&) { return true; }},
        outcome);
}

void chat_driver::count_resumption(state::backend_view const& next)
{
    auto const generated = journal_->last();
    if (attempt_count_ == 0 || generated.count() == 0)
        return;
    auto& counters = context_.tables.counters;
    if (!kv_handle_.empty())
    {
        counters.increment(state::event_counter::streams_moved_by_export);
        return;
    }
    auto const context_length =
        routing_.prompt + state::token_count{static_cast<std::int64_t>(generated.count())};
    auto const hit = context_.tables.prefixes.expected_hit(next.id, routing_.prefix, now());
    counters.increment(state::event_counter::streams_replayed);
    counters.increment(
        state::event_counter::tokens_recomputed,
        static_cast<std::uint64_t>((context_length - hit).count()));
}

net::awaitable<bool> chat_driver::handle_failed_attempt(
    state::backend_view backend, state::retry_reason reason)
{
    auto& tables = context_.tables;
    tables.counters.increment(reason);
    context_.record_failure(backend);
    routing_.tried_backends.insert(backend.id);
    routing_.failed_domains.insert(backend.failure_domain);
    kv_handle_.clear();
    ++failure_count_;

    coordination::failed_attempt const attempt{
        journal_->request().header.service, coordination::retry_safety::idempotent, reason,
        failure_count_, deadline_};
    auto const decision = tables.retries.decide(attempt, now(), worker_.random());
    if (auto const* retry = std::get_if<coordination::retry_after>(&decision))
    {
        co_await sleep_for(worker_.io(), retry->delay);
        co_return true;
    }
    auto const give_up_cause = std::get<coordination::give_up>(decision).reason;
    tables.counters.increment(give_up_cause);
    // The caller has a part of the accepted answer, so it is completed beyond the retry limits,
    // only more slowly.
    bool const has_tokens = journal_->last().count() > 0;
    bool const before_deadline = give_up_cause != state::give_up_reason::deadline_too_close;
    if (has_tokens && before_deadline && failure_count_ < max_retries_after_start)
    {
        co_await sleep_for(worker_.io(), retry_delay_after_start);
        co_return true;
    }
    journal_->fail(
        before_deadline ? state::refusal_reason::backend_failed
                        : state::refusal_reason::deadline_exceeded);
    co_return false;
}

net::awaitable<chat_driver::attempt_outcome> chat_driver::run_attempt(state::backend_view backend)
{
    auto const config = context_.tables.configuration.current();
    auto const* server = config->find(backend.id);
    if (!server)
        co_return attempt_failed{state::retry_reason::connect_failed};
    state::attempt_token const token{protocol::random_hex(attempt_token_bytes)};
    journal_->begin_attempt(token);
    attempt_started_at_ = now();
    first_token_recorded_ = false;

    auto const generated = journal_->last();
    http_request call;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.content_type = "application/json";
    call.headers.emplace_back("X-Attempt-Id", token.str());
    call.headers.emplace_back("X-Request-Id", journal_->request().header.id.str());
    call.body = protocol::encode_engine_request(
        journal_->request(), journal_->text(),
        state::token_count{static_cast<std::int64_t>(generated.count())}, kv_handle_);

    auto& tables = context_.tables;
    tables.counters.increment(state::event_counter::backend_attempts);
    tables.backends.record_sent(backend.id, routing_.prompt);
    // An engine names no call in its status; only the connection tells.
    auto opened = co_await worker_.http().open(
        server->address, std::move(call), read_timeout(), connection_use::own_connection);
    attempt_outcome outcome = attempt_failed{state::retry_reason::connect_failed};
    if (opened)
    {
        record_reported_load(backend, opened.value().headers());
        outcome = classify_status(backend, opened.value());
        if (std::holds_alternative<attempt_finished>(outcome))
            outcome = co_await read_answer(backend, opened.value(), token);
    }
    else if (opened.error() == http_error::timed_out)
        outcome = attempt_failed{state::retry_reason::stream_stalled};
    else if (opened.error() != http_error::connect_failed)
        outcome = attempt_failed{state::retry_reason::stream_cut};
    tables.backends.record_end(backend.id);
    if (is_past_deadline() && std::holds_alternative<attempt_failed>(outcome))
        co_return attempt_stopped{};
    co_return outcome;
}

/// Returns `attempt_finished` when the response's stream can be read.
chat_driver::attempt_outcome chat_driver::classify_status(
    state::backend_view const& backend, http_stream const& stream)
{
    auto const status = stream.status();
    if (status == http_ok)
        return attempt_finished{};
    if (protocol::is_leaving_state(std::string{stream.headers()["X-Engine-State"]}))
    {
        context_.mark_leaving(backend.id, std::nullopt, worker_.random());
        return attempt_migrated{};
    }
    if (status == http_too_many_requests || status == http_service_unavailable)
        return attempt_failed{state::retry_reason::backend_overloaded};
    if (status >= min_client_error_status && status < min_server_error_status)
        return attempt_rejected{};
    return attempt_failed{state::retry_reason::backend_error};
}

void chat_driver::record_reported_load(
    state::backend_view const& backend, http_fields const& headers)
{
    auto const text = headers["X-Engine-Load"];
    if (text.empty())
        return;
    auto const decoded = protocol::decode_load_header(std::string_view{text.data(), text.size()});
    if (!decoded)
        return;
    auto report = decoded.value();
    report.at = now();
    context_.tables.backends.record_load(backend.id, report);
}

net::awaitable<chat_driver::attempt_outcome> chat_driver::read_answer(
    state::backend_view backend, http_stream& stream, state::attempt_token token)
{
    protocol::sse_parser parser;
    for (;;)
    {
        auto const chunk = co_await stream.read(read_timeout());
        if (!chunk && chunk.error() == http_error::timed_out)
            co_return attempt_failed{state::retry_reason::stream_stalled};
        if (!chunk || chunk.value().empty() || !parser.feed(chunk.value()))
            co_return attempt_failed{state::retry_reason::stream_cut};
        auto const stream_outcome = handle_events(parser, token);
        if (stream_outcome)
            co_return *stream_outcome;
        auto const progress_outcome = co_await check_progress(backend, token, stream);
        if (progress_outcome)
            co_return *progress_outcome;
    }
}

std::optional<chat_driver::attempt_outcome> chat_driver::handle_events(
    protocol::sse_parser& parser, state::attempt_token const& token)
{
    while (auto const data = parser.next())
    {
        auto event = protocol::decode_engine_event(*data);
        if (!event)
            return attempt_failed{state::retry_reason::backend_error};
        auto const outcome = std::visit(
            state::overloaded{
                [&](protocol::engine_token& t) -> std::optional<attempt_outcome>
                {
                    auto const result = journal_->append(token, std::move(t.text));
                    if (result == state::append_result::appended)
                        return std::nullopt;
                    context_.tables.counters.increment(state::event_counter::tokens_superseded);
                    return attempt_stopped{};
                },
                [&](protocol::engine_finish const& f) -> std::optional<attempt_outcome>
                {
                    if (f.reason == state::finish_reason::failed)
                        return attempt_failed{state::retry_reason::backend_error};
                    journal_->finish(token, f.reason);
                    return attempt_finished{};
                },
                [](protocol::engine_done const&) -> std::optional<attempt_outcome>
                { return attempt_failed{state::retry_reason::stream_cut}; },
                [](protocol::engine_empty_delta const&) -> std::optional<attempt_outcome>
                { return std::nullopt; }},
            event.value());
        if (outcome)
            return outcome;
    }
    return std::nullopt;
}

net::awaitable<std::optional<chat_driver::attempt_outcome>> chat_driver::check_progress(
    state::backend_view backend, state::attempt_token token, http_stream& stream)
{
    if (!first_token_recorded_ && journal_->last().count() > 0)
    {
        first_token_recorded_ = true;
        context_.tables.backends.record_first_token(backend.id, now() - attempt_started_at_);
        context_.tables.prefixes.record_blocks(backend.id, routing_.prefix, now());
    }
    if (is_abandoned() || is_past_deadline() || is_owned_elsewhere())
        co_return attempt_stopped{};
    if (journal_->undelivered() > max_undelivered_tokens)
        co_await wait_for_reader();
    if (now() < next_plan_at_ || !context_.tables.backends.is_leaving(backend.id))
        co_return std::nullopt;
    next_plan_at_ = now() + replan_interval;
    auto const plan = plan_resume_from(backend);
    if (std::holds_alternative<coordination::continue_in_place>(plan))
    {
        context_.tables.counters.increment(state::event_counter::streams_continued);
        co_return std::nullopt;
    }
    attempt_migrated migrated;
    if (std::holds_alternative<coordination::transfer_kv_cache>(plan))
    {
        auto const handle = co_await export_kv_cache(backend, token, stream);
        migrated.kv_handle = handle.value_or("");
    }
    if (journal_->finished())
        co_return attempt_finished{};
    co_return migrated;
}

coordination::resume_plan chat_driver::plan_resume_from(state::backend_view const& leaving)
{
    auto const next = choose_backend();
    if (!next)
        return coordination::continue_in_place{};
    auto const view = context_.tables.backends.find(leaving.id);
    auto const generated = state::token_count{static_cast<std::int64_t>(journal_->last().count())};
    coordination::stream_progress progress;
    progress.prompt = routing_.prompt;
    progress.generated = generated;
    progress.max_remaining = journal_->request().max_tokens - generated;
    auto const elapsed = std::chrono::duration<double>(now() - attempt_started_at_).count();
    progress.decode_tokens_per_second =
        view && view->report.decode_tokens_per_second > 0
            ? view->report.decode_tokens_per_second
            : static_cast<double>(generated.count()) / std::max(elapsed, min_elapsed_seconds);
    if (view && view->leaving && view->leaving->deadline)
        progress.time_left = *view->leaving->deadline - now();
    progress.supports_export = true;

    coordination::resume_target target;
    target.supports_import = true;
    target.expected_hit = context_.tables.prefixes.expected_hit(next->id, routing_.prefix, now());
    target.prefill_tokens_per_second = next->report.prefill_tokens_per_second;
    target.other_region = next->region != leaving.region;
    return coordination::plan_resume(progress, target, {});
}

net::awaitable<std::optional<std::string>> chat_driver::export_kv_cache(
    state::backend_view backend, state::attempt_token token, http_stream& stream)
{
    auto const config = context_.tables.configuration.current();
    auto const* server = config->find(backend.id);
    if (!server)
        co_return std::nullopt;
    http_request call;
    call.method = "POST";
    call.target = "/v1/kv/export";
    call.content_type = "application/json";
    call.body = protocol::encode_kv_export_request(token);
    auto const response = co_await worker_.http().call(
        server->address, std::move(call), read_timeout(), connection_use::own_connection);
    if (!response || response.value().status != http_ok)
        co_return std::nullopt;
    auto const handle = protocol::decode_kv_export_response(response.value().body);
    if (!handle)
        co_return std::nullopt;
    // Tokens that the engine sent before it stopped are part of the exported state.
    protocol::sse_parser parser;
    body_limits limits;
    limits.size = max_remaining_stream;
    limits.timeout = read_timeout();
    auto const rest = co_await stream.read_rest(limits);
    if (rest && parser.feed(rest.value()))
        (void)handle_events(parser, token);
    co_return handle.value();
}

net::awaitable<void> chat_driver::wait_for_reader()
{
    journal_watch watch(worker_.io(), journal_, state::journal_change::delivered);
    while (journal_->undelivered() > max_undelivered_tokens / 2 && !is_abandoned() &&
           !is_past_deadline() && !is_owned_elsewhere())
        co_await watch.wait(reader_wait_interval);
}

} // namespace auburnweir::transport
