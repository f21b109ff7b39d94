#include "protocol/digest.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>
#include <vector>

namespace auburnweir::protocol
{

namespace
{

std::string to_hex(unsigned char const* data, std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i)
    {
        text += digits[data[i] >> 4U];
        text += digits[data[i] & 15U];
    }
    return text;
}

} // namespace

state::sha256_digest sha256(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> sum{};
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), sum.data(), &size, EVP_sha256(), nullptr);
    return state::sha256_digest{to_hex(sum.data(), size)};
}

std::string hmac_sha256(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> sum{};
    unsigned int size = 0;
    HMAC(
        EVP_sha256(), key.data(), static_cast<int>(key.size()),
        reinterpret_cast<unsigned char const*>(data.data()), data.size(), sum.data(), &size);
    return to_hex(sum.data(), size);
}

bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string random_hex(std::size_t bytes)
{
    std::vector<unsigned char> data(bytes);
    if (RAND_bytes(data.data(), static_cast<int>(bytes)) != 1)
        throw std::runtime_error("OpenSSL could not generate random bytes");
    return to_hex(data.data(), data.size());
}

} // namespace auburnweir::protocol
