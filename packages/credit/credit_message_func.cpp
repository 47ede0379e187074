/** @file credit_message_func.cpp The form of messages between VMs. */
#include "credit/credit_message_func.hpp"

#include "common/overload_func.hpp"

#include <nlohmann/json.hpp>

namespace rosemarydeck
{

namespace
{

using nlohmann::json;

// Messages are frequent and small, so their members have no names: the first
// one is the kind of message.
constexpr int ask_kind = 1;
constexpr int gift_kind = 2;
constexpr int return_kind = 3;
constexpr int use_kind = 4;

token_count amount(const json& from)
{
    const auto tokens = from.get<token_count>();
    if (!from.is_number_integer() || tokens < 0)
        throw std::invalid_argument("an amount is not a count of tokens");
    return tokens;
}

credit_message to_message(const json& from)
{
    switch (from.at(0).get<int>()) {
    case ask_kind:
        return credit_request{from.at(1).get<std::uint64_t>(),
                              customer_id(from.at(2).get<std::string>()),
                              amount(from.at(3)), amount(from.at(4))};
    case gift_kind:
        return credit_reply{from.at(1).get<std::uint64_t>(),
                            customer_id(from.at(2).get<std::string>()),
                            amount(from.at(3)), amount(from.at(4))};
    case return_kind:
        return credit_return{customer_id(from.at(1).get<std::string>()),
                             amount(from.at(2))};
    case use_kind:
        return credit_usage{customer_id(from.at(1).get<std::string>()),
                            amount(from.at(2))};
    default:
        throw std::invalid_argument("the kind of message is unknown");
    }
}

} // namespace

std::string encode_credit(const credit_message& message)
{
    const auto form = std::visit(
        overload{
            [](const credit_request& ask) {
                return json{ask_kind, ask.number, ask.customer.value(),
                            ask.min_amount, ask.wanted_tokens};
            },
            [](const credit_reply& gift) {
                return json{gift_kind, gift.number, gift.customer.value(),
                            gift.tokens, gift.consumed};
            },
            [](const credit_return& back) {
                return json{return_kind, back.customer.value(), back.tokens};
            },
            [](const credit_usage& use) {
                return json{use_kind, use.customer.value(), use.tokens};
            }},
        message);
    std::string bytes;
    json::to_cbor(form, bytes);
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
