/** @file peer_message_func.cpp CBOR form of peer messages. */
#include "core/peer_message_func.hpp"

#include <nlohmann/json.hpp>
#include <optional>

namespace rosemarydeck
{

namespace
{

tl::unexpected<error> decode_error(const std::string& text)
{
    return tl::unexpected(
        error{error_code::invalid_input, "read peer message", "", text});
}

/** Decodes the body as the alternative of the variant with this name. */
template <std::size_t Index = 0>
std::optional<peer_message> decode_body(const std::string& name,
                                        const nlohmann::json& body)
{
    if constexpr (Index < std::variant_size_v<peer_message>) {
        using message = std::variant_alternative_t<Index, peer_message>;
        if (name == message::name)
            return body.get<message>();
        return decode_body<Index + 1>(name, body);
    }
    else
        return std::nullopt;
}

} // namespace

std::string encode_message(const peer_message& message)
{
    nlohmann::json json;
    json["v"] = peer_protocol_version;
    std::visit(
        [&](const auto& body) {
            json["t"] = std::string(body.name);
            json["b"] = body;
        },
        message);
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

expected<peer_message> decode_message(const std::string& bytes)
{
    try {
        const auto json = nlohmann::json::from_cbor(bytes);
        if (json.at("v").get<std::uint32_t>() != peer_protocol_version)
            return decode_error(
                "the protocol version differs from that of this VM");
        const auto name = json.at("t").get<std::string>();
        const auto message = decode_body(name, json.at("b"));
        if (!message)
            return decode_error("unknown message name '" + name + "'");
        return *message;
    }
    catch (const nlohmann::json::exception& fault) {
        return decode_error(fault.what());
    }
}

} // namespace rosemarydeck
