#ifndef AUBURNWEIR_STANDINS_ENGINE_MODEL_HPP
#define AUBURNWEIR_STANDINS_ENGINE_MODEL_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace auburnweir::standins
{

/// Token `number` (from 1) of the stand-in engines' answer to a prompt. The same everywhere, so
/// that a test can tell a whole answer from a mixed one.
inline std::string answer_token(std::string_view prompt, std::uint64_t number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    auto hash = XXH3_64bits_withSeed(prompt.data(), prompt.size(), number);
    std::string token = " w";
    for (int i = 0; i < 4; ++i, hash >>= 4U)
        token += digits[hash & 15U];
    return token;
}

/// The first `count` tokens as one text.
inline std::string answer_text(std::string_view prompt, std::uint64_t count)
{
    std::string text;
    for (std::uint64_t i = 1; i <= count; ++i)
        text += answer_token(prompt, i);
    return text;
}

} // namespace auburnweir::standins

#endif
