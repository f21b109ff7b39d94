#include "protocol/chat_codec.hpp"

#include "protocol/json.hpp"
#include "protocol/option_table.hpp"
#include "protocol/sse.hpp"

namespace auburnweir::protocol
{

namespace
{

constexpr std::string_view done_marker = "[DONE]";
constexpr std::int64_t max_answer_tokens = 1000000;
constexpr std::size_t max_messages = 4096;

decode_error error(std::string reason)
{
    return {std::move(reason)};
}

nlohmann::json encode_messages(std::vector<state::chat_message> const& messages)
{
    auto list = nlohmann::json::array();
    for (auto const& m : messages)
        list.push_back({{"role", m.role}, {"content", m.content}});
    return list;
}

std::string_view priority_name(state::priority level)
{
    switch (level)
    {
    case state::priority::interactive:
        return "interactive";
    case state::priority::ordinary:
        return "ordinary";
    case state::priority::deferrable:
        break;
    }
    return "deferrable";
}

std::optional<state::finish_reason> parse_finish_reason(std::string const& name)
{
    if (name == "stop")
        return state::finish_reason::stop;
    if (name == "length")
        return state::finish_reason::length;
    if (name.empty())
        return std::nullopt;
    return state::finish_reason::failed;
}

/// `{"id":…,"object":"chat.completion.chunk","choices":[{"index":0,"delta":…` up to the value of
/// `delta`.
std::string chunk_prefix(state::request_id const& id)
{
    return R"({"id":)" + nlohmann::json(id.str()).dump() +
           R"(,"object":"chat.completion.chunk","choices":[{"index":0,"delta":)";
}

} // namespace

decoded<state::chat_request> decode_chat_request(std::string_view body)
{
    auto const parsed = parse_json(body);
    if (!parsed || !parsed->is_object())
        return error("body is not a JSON object");
    state::chat_request request;
    request.header.service = state::service_id{text_at(*parsed, "model")};
    if (request.header.service.empty())
        return error("'model' is missing; it names the service");
    auto const& messages = array_at(*parsed, "messages");
    if (messages.empty() || messages.size() > max_messages)
        return error("'messages' must be an array of 1 to 4096 messages");
    for (auto const& m : messages)
    {
        state::chat_message message{text_at(m, "role"), text_at(m, "content")};
        if (message.role.empty() || !m.contains("content") || !m["content"].is_string())
            return error("each message needs 'role' and 'content' as text");
        request.messages.push_back(std::move(message));
    }
    auto const max_tokens = integer_at(*parsed, "max_tokens", 0);
    bool const has_max_tokens = parsed->contains("max_tokens");
    if (has_max_tokens && (max_tokens < 1 || max_tokens > max_answer_tokens))
        return error("'max_tokens' must be a whole number from 1 to 1000000");
    request.max_tokens = state::token_count{max_tokens};
    request.streamed = flag_at(*parsed, "stream");
    return request;
}

std::string encode_stored_chat(state::chat_request const& request)
{
    auto const& h = request.header;
    return dump(
        {{"id", h.id.str()},
         {"organisation", h.organisation.str()},
         {"service", h.service.str()},
         {"level", std::string{priority_name(h.priority)}},
         {"messages", encode_messages(request.messages)},
         {"max_tokens", request.max_tokens.count()},
         {"stream", request.streamed}});
}

decoded<state::chat_request> decode_stored_chat(std::string_view text)
{
    auto const parsed = parse_json(text);
    if (!parsed || !parsed->is_object())
        return error("stored request is not a JSON object");
    state::chat_request request;
    auto& h = request.header;
    h.id = state::request_id{text_at(*parsed, "id")};
    h.organisation = state::organisation_id{text_at(*parsed, "organisation")};
    h.service = state::service_id{text_at(*parsed, "service")};
    auto const level = text_at(*parsed, "level");
    for (auto const p :
         {state::priority::interactive, state::priority::ordinary, state::priority::deferrable})
        if (level == priority_name(p))
            h.priority = p;
    for (auto const& m : array_at(*parsed, "messages"))
        request.messages.push_back({text_at(m, "role"), text_at(m, "content")});
    request.max_tokens = state::token_count{integer_at(*parsed, "max_tokens")};
    request.streamed = flag_at(*parsed, "stream");
    if (h.id.empty() || h.organisation.empty() || h.service.empty() || request.messages.empty())
        return error("stored request lacks id, organisation, service or messages");
    return request;
}

std::string encode_resume_point(state::resume_point const& point)
{
    return point.generation.str() + "." + std::to_string(point.after.count());
}

decoded<state::resume_point> decode_resume_point(std::string_view text)
{
    auto const dot = text.find('.');
    auto const digits = dot == std::string_view::npos ? text : text.substr(dot + 1);
    auto const number = parse_number<std::uint64_t>(digits, 0, UINT32_MAX);
    if (!number)
        return error("Last-Event-ID must be the id of a received event");
    auto const tag = dot == std::string_view::npos ? std::string_view{} : text.substr(0, dot);
    return state::resume_point{
        state::generation_tag{std::string{tag}}, state::sequence_number{*number}};
}

std::string encode_chat_events(
    state::request_id const& id, state::journal_chunk const& chunk,
    state::generation_lineage const& lineage)
{
    std::string out;
    auto const prefix = chunk_prefix(id);
    auto number = chunk.first;
    auto span = lineage.begin();
    for (auto const& token : chunk.tokens)
    {
        while (span->upto < number)
            ++span;
        auto data = prefix;
        data.append(R"({"content":)").append(dump(token)).append(R"(},"finish_reason":null}]})");
        auto const event_id = encode_resume_point({span->tag, number});
        number += state::sequence_number{1};
        append_sse_event(out, event_id, data);
    }
    if (!chunk.finish)
        return out;
    auto const reason = std::string{name_of(*chunk.finish)};
    append_sse_event(out, {}, prefix + R"({},"finish_reason":")" + reason + R"("}]})");
    if (*chunk.finish != state::finish_reason::failed)
        append_sse_event(out, {}, done_marker);
    return out;
}

std::string encode_chat_answer(
    state::chat_request const& request, std::string const& text, state::token_count tokens,
    state::finish_reason finish)
{
    nlohmann::json const choice{
        {"index", 0},
        {"message", {{"role", "assistant"}, {"content", text}}},
        {"finish_reason", std::string{name_of(finish)}}};
    return dump(
        {{"id", request.header.id.str()},
         {"object", "chat.completion"},
         {"model", request.header.service.str()},
         {"choices", nlohmann::json::array({choice})},
         {"usage",
          {{"prompt_tokens", prompt_tokens(request).count()},
           {"completion_tokens", tokens.count()}}}});
}

std::string encode_engine_request(
    state::chat_request const& request, std::string const& generated,
    state::token_count generated_tokens, std::string const& kv_handle)
{
    auto messages = encode_messages(request.messages);
    nlohmann::json body{
        {"model", request.header.service.str()},
        {"max_tokens", (request.max_tokens - generated_tokens).count()},
        {"priority", static_cast<int>(request.header.priority)},
        {"stream", true}};
    if (!generated.empty())
    {
        messages.push_back({{"role", "assistant"}, {"content", generated}});
        body["continue_final_message"] = true;
        body["continued_tokens"] = generated_tokens.count();
    }
    if (!kv_handle.empty())
        body["kv_handle"] = kv_handle;
    body["messages"] = std::move(messages);
    return dump(body);
}

decoded<engine_event> decode_engine_event(std::string_view data)
{
    if (data == done_marker)
        return engine_event{engine_done{}};
    auto const parsed = parse_json(data);
    if (!parsed)
        return error("engine event is not JSON");
    auto const& choices = array_at(*parsed, "choices");
    if (choices.empty())
        return error("engine event has no choices");
    auto const& choice = choices.front();
    if (auto const reason = parse_finish_reason(text_at(choice, "finish_reason")))
        return engine_event{engine_finish{*reason}};
    auto const delta = choice.is_object() ? choice.find("delta") : choice.end();
    if (delta == choice.end())
        return error("engine event has no delta");
    auto text = text_at(*delta, "content");
    if (text.empty())
        return engine_event{engine_empty_delta{}};
    return engine_event{engine_token{std::move(text)}};
}

} // namespace auburnweir::protocol
