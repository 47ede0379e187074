/** @file credit_message_func.cpp CBOR encoding of credit messages. */
#include "credit/credit_message_func.hpp"

#include "common/overload_func.hpp"

#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

using nlohmann::json;

// Messages are frequent and small, so they are arrays without member names. The
// first element is the message kind.
constexpr int request_kind = 1;
constexpr int reply_kind = 2;
constexpr int return_kind = 3;
constexpr int usage_kind = 4;

token_count token_amount(const json& from)
{
    const auto tokens = from.get<token_count>();
    if (!from.is_number_integer() || tokens < 0)
        throw std::invalid_argument(
            "token amount is not a non-negative integer");
    return tokens;
}

credit_message to_message(const json& from)
{
    switch (from.at(0).get<int>()) {
    case request_kind:
        return credit_request{from.at(1).get<std::uint64_t>(),
                              customer_id(from.at(2).get<std::string>()),
                              token_amount(from.at(3)),
                              token_amount(from.at(4))};
    case reply_kind:
        return credit_reply{from.at(1).get<std::uint64_t>(),
                            customer_id(from.at(2).get<std::string>()),
                            token_amount(from.at(3)), token_amount(from.at(4))};
    case return_kind:
        return credit_return{customer_id(from.at(1).get<std::string>()),
                             token_amount(from.at(2))};
    case usage_kind:
        return credit_usage{customer_id(from.at(1).get<std::string>()),
                            token_amount(from.at(2))};
    default:
        throw std::invalid_argument("unknown message kind, expected 1 to 4");
    }
}

} // namespace

std::string encode_credit(const credit_message& message)
{
    const auto json_array = std::visit(
        overload{
            [](const credit_request& request) {
                return json{request_kind, request.number,
                            request.customer.value(), request.min_tokens,
                            request.wanted_tokens};
            },
            [](const credit_reply& reply) {
                return json{reply_kind, reply.number, reply.customer.value(),
                            reply.tokens, reply.consumed};
            },
            [](const credit_return& returned) {
                return json{return_kind, returned.customer.value(),
                            returned.tokens};
            },
            [](const credit_usage& usage) {
                return json{usage_kind, usage.customer.value(), usage.tokens};
            }},
        message);
    std::string bytes;
    json::to_cbor(json_array, bytes);
    return bytes;
}

expected<credit_message> decode_credit(const std::string& bytes,
                                       const std::string& peer)
{
    constexpr const char* step = "read credit message";
    try {
        return to_message(json::from_cbor(bytes));
    }
    catch (const json::exception& fault) {
        return tl::unexpected(
            error{error_code::invalid_input, step, peer, fault.what()});
    }
    catch (const std::invalid_argument& fault) {
        return tl::unexpected(
            error{error_code::invalid_input, step, peer, fault.what()});
    }
}

} // namespace rosemarydeck
