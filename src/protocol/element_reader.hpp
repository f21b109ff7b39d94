#ifndef AUBURNWEIR_PROTOCOL_ELEMENT_READER_HPP
#define AUBURNWEIR_PROTOCOL_ELEMENT_READER_HPP

#include <nlohmann/json.hpp>

#include <string>

namespace auburnweir::protocol
{

/// Thrown inside the CBOR codecs when a message has an unexpected element.
struct malformed_message
{
    char const* reason;
};

inline void require(bool condition, char const* reason)
{
    if (!condition)
        throw malformed_message{reason};
}

/// Reads the elements of a message array in order and checks their types.
///
/// Each read throws `malformed_message` when the element is absent or has another type.
class element_reader
{
public:
    explicit element_reader(nlohmann::json const& message)
        : message_(message)
    {
        require(message.is_array(), "message is not an array");
    }

    std::uint64_t unsigned_integer()
    {
        auto const& e = next();
        require(e.is_number_unsigned(), "element is not an unsigned number");
        return e.get<std::uint64_t>();
    }

    std::int64_t integer()
    {
        auto const& e = next();
        require(e.is_number_integer(), "element is not a whole number");
        return e.get<std::int64_t>();
    }

    std::string text()
    {
        auto const& e = next();
        require(e.is_string(), "element is not text");
        return e.get<std::string>();
    }

    double decimal()
    {
        auto const& e = next();
        require(e.is_number(), "element is not a number");
        return e.get<double>();
    }

    bool flag()
    {
        auto const& e = next();
        require(e.is_boolean(), "element is not a flag");
        return e.get<bool>();
    }

    nlohmann::json const& array()
    {
        auto const& e = next();
        require(e.is_array(), "element is not an array");
        return e;
    }

    /// Whether there is another element and it is an array.
    bool next_is_array() const { return !at_end() && message_[index_].is_array(); }

    bool at_end() const { return index_ == message_.size(); }

private:
    nlohmann::json const& next()
    {
        require(index_ < message_.size(), "message is too short");
        return message_[index_++];
    }

    nlohmann::json const& message_;
    std::size_t index_ = 0;
};

} // namespace auburnweir::protocol

#endif
