#ifndef AUBURNWEIR_STANDINS_ENGINE_MODEL_HPP
#define AUBURNWEIR_STANDINS_ENGINE_MODEL_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace auburnweir::standins
{

/// Token `number`, counted from 1, of the stand-in engines' answer to a prompt. All engines
/// generate the same tokens, so a test can detect an answer with wrong, missing or repeated tokens.
inline std::string answer_token(std::string_view prompt, std::uint64_t number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    auto hash = XXH3_64bits_withSeed(prompt.data(), prompt.size(), number);
    std::string token = " w";
    for (int i = 0; i < 4; ++i, hash >>= 4U)
        token += digits[hash & 15U];
    return token;
}

/// The first `count` tokens of the answer, concatenated.
inline std::string answer_text(std::string_view prompt, std::uint64_t count)
{
    std::string text;
    for (std::uint64_t i = 1; i <= count; ++i)
        text += answer_token(prompt, i);
    return text;
}

} // namespace auburnweir::standins

#endif
