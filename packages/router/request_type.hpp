/** @file request_type.hpp What a request and an answer say of themselves. */
#pragma once

#include "router/fleet_type.hpp"

namespace rosemarydeck
{

/** One part of a prompt; requests that share leading parts share their cache.
 */
struct prompt_part
{
    std::string id;
    token_count tokens = 0;

    bool operator==(const prompt_part&) const = default;
};

/** What the router needs to know of a request. */
struct request_head
{
    std::string id; ///< Of this client attempt.
    std::string host;
    std::string method;
    std::string target;
    std::string key;
    std::optional<milliseconds> deadline; ///< How long the client will wait.
    std::optional<std::uint64_t> resume_after; ///< Last event the client has.
    token_count input_tokens = 0;
    token_count max_output_tokens = 0;
    std::vector<prompt_part> prompt;

    bool operator==(const request_head&) const = default;

    /** @return Key of the longest run of parts that other requests share, or
     *  empty. The last part is the request's own. */
    [[nodiscard]] std::string shared_prefix() const
    {
        return prompt.size() < 2 ? std::string() : prompt[prompt.size() - 2].id;
    }
    /** @return Tokens of the parts that other requests share. */
    [[nodiscard]] token_count shared_tokens() const
    {
        token_count sum = 0;
        for (std::size_t at = 0; at + 1 < prompt.size(); ++at)
            sum += prompt[at].tokens;
        return sum;
    }
    /** @return Most tokens that the request may be charged. */
    [[nodiscard]] token_count max_charge() const
    {
        return input_tokens + max_output_tokens;
    }
};

/** What is added to a request on its way to one engine. */
struct send_metadata
{
    server_id expected_engine;
    std::optional<customer_id> customer;
    milliseconds time_left{};
    int priority = 0;
    std::optional<std::uint64_t> resume_after;
    std::optional<std::string> fetch_from; ///< IP:PORT of the prompt's home.
};

/** What an engine's answer says of itself. */
struct answer_head
{
    unsigned status = 0;
    bool sealed = false;       ///< Carries the engine's signature.
    bool not_executed = false; ///< The engine states that it did not run it.
    bool encoded = false;      ///< The body is not the engine's own.
    bool request_id_matches = false; ///< It names the request that was sent.
    std::optional<std::chrono::seconds> idle_timeout; ///< Of the connection.
};

} // namespace rosemarydeck
