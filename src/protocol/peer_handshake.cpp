#include "protocol/peer_handshake.hpp"

#include "protocol/cbor.hpp"
#include "protocol/digest.hpp"
#include "protocol/json.hpp"

namespace auburnweir::protocol
{

namespace
{

using nlohmann::json;

/// Texts of a frame `[kind, ...texts]`, or null when the frame has another kind or size.
std::optional<std::vector<std::string>> read_frame(
    std::string_view frame, std::string_view kind, std::size_t texts)
{
    auto const list = parse_cbor(frame);
    if (!list || !list->is_array() || list->size() != texts + 1)
        return std::nullopt;
    std::vector<std::string> out;
    for (auto const& e : *list)
    {
        if (!e.is_string())
            return std::nullopt;
        out.push_back(e.get<std::string>());
    }
    if (out.front() != kind)
        return std::nullopt;
    out.erase(out.begin());
    return out;
}

std::string write_frame(json const& list)
{
    std::string frame;
    json::to_cbor(list, frame);
    return frame;
}

} // namespace

peer_handshake::peer_handshake(
    role side, state::instance_id self, std::string key, std::string nonce)
    : side_(side)
    , self_(std::move(self))
    , key_(std::move(key))
    , nonce_(std::move(nonce))
{
}

std::string peer_handshake::proof(
    std::string_view side, std::string_view connecting_nonce, std::string_view accepting_nonce,
    state::instance_id const& connecting, state::instance_id const& accepting) const
{
    std::string data{side};
    for (auto const field :
         {connecting_nonce, accepting_nonce, std::string_view{connecting.str()},
          std::string_view{accepting.str()}})
    {
        data += '\n';
        data.append(field);
    }
    return hmac_sha256(key_, data);
}

std::string peer_handshake::hello() const
{
    return write_frame(json::array({"hello", self_.str(), nonce_}));
}

handshake_step peer_handshake::receive(std::string_view frame)
{
    if (side_ == role::connecting)
        return on_challenge(frame);
    return expected_proof_.empty() ? on_hello(frame) : on_proof(frame);
}

handshake_step peer_handshake::on_hello(std::string_view frame)
{
    auto const texts = read_frame(frame, "hello", 2);
    if (!texts)
        return handshake_refused{"no hello"};
    peer_ = state::instance_id{(*texts)[0]};
    auto const& nonce = (*texts)[1];
    expected_proof_ = proof("connecting", nonce, nonce_, peer_, self_);
    auto const own_proof = proof("accepting", nonce, nonce_, peer_, self_);
    return handshake_send{write_frame(json::array({"challenge", self_.str(), nonce_, own_proof}))};
}

handshake_step peer_handshake::on_challenge(std::string_view frame)
{
    auto const texts = read_frame(frame, "challenge", 3);
    if (!texts)
        return handshake_refused{"no challenge"};
    peer_ = state::instance_id{(*texts)[0]};
    auto const& nonce = (*texts)[1];
    if (!equal_in_constant_time((*texts)[2], proof("accepting", nonce_, nonce, self_, peer_)))
        return handshake_refused{"wrong key"};
    auto const own_proof = proof("connecting", nonce_, nonce, self_, peer_);
    return handshake_done{peer_, write_frame(json::array({"proof", own_proof}))};
}

handshake_step peer_handshake::on_proof(std::string_view frame) const
{
    auto const texts = read_frame(frame, "proof", 1);
    if (!texts || !equal_in_constant_time((*texts)[0], expected_proof_))
        return handshake_refused{"wrong key"};
    return handshake_done{peer_, std::nullopt};
}

} // namespace auburnweir::protocol
