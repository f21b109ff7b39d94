#include "state/request.hpp"

#include <string_view>

namespace auburnweir::state
{

namespace
{
constexpr std::size_t bytes_per_token = 4;
}

token_count estimated_tokens(std::string_view text)
{
    return token_count{static_cast<std::int64_t>(text.size() / bytes_per_token + 1)};
}

token_count prompt_tokens(chat_request const& request)
{
    token_count sum;
    for (auto const& m : request.messages)
        sum += estimated_tokens(m.content);
    return sum;
}

} // namespace auburnweir::state
