/** @file request_type.hpp Metadata of requests and answers. */
#pragma once

#include "router/fleet_type.hpp"

namespace rosemarydeck
{

/** One part of a prompt. An engine's cache of leading parts serves all requests
 *  whose prompts begin with them. */
struct prompt_part
{
    std::string id;
    token_count tokens = 0;

    bool operator==(const prompt_part&) const = default;
};

/** Larger than any engine's memory, and small enough for sums of many. */
constexpr token_count max_request_tokens = 1'000'000'000'000;

/** Fields of a request's header that the router uses. */
struct request_head
{
    std::string id; ///< Identifies one attempt of the client.
    std::string host;
    std::string method;
    std::string target; ///< Path with query.
    std::string key;    ///< API key.
    /** Time that the client waits for the answer. */
    std::optional<milliseconds> deadline;
    /** Id of the last event that the client received of a stream to be
     *  resumed. */
    std::optional<std::uint64_t> resume_after;
    /** The stream that is to be resumed; empty if the client names none. */
    stream_id resumed_stream;
    /** At most max_request_tokens each. */
    token_count input_tokens = 0;
    token_count max_output_tokens = 0;
    bool valid_token_count = true; ///< Also if the request names no count.
    std::vector<prompt_part> prompt;

    bool operator==(const request_head&) const = default;

    /** @return Id of the last part that other requests may share, which
     *  identifies all parts up to it; empty if there is none. The last part of
     *  the prompt belongs to this request only. */
    [[nodiscard]] std::string shared_prefix() const
    {
        return prompt.size() < 2 ? std::string() : prompt[prompt.size() - 2].id;
    }
    /** @return Tokens of the parts that other requests may share. */
    [[nodiscard]] token_count shared_tokens() const
    {
        token_count sum = 0;
        for (std::size_t at = 0; at + 1 < prompt.size(); ++at)
            sum += prompt[at].tokens;
        return sum;
    }
    /** @return Maximum number of tokens charged for the request. */
    [[nodiscard]] token_count max_charge() const
    {
        return input_tokens + max_output_tokens;
    }
};

/** Fields that are added to the header of a request to an engine. */
struct send_metadata
{
    server_id expected_engine; ///< Other engines must refuse the request.
    std::optional<customer_id> customer;
    milliseconds time_left{}; ///< Until the request times out.
    int priority = 0;
    /** Id of the last event received of a stream to be resumed. */
    std::optional<std::uint64_t> resume_after;
    /** IP:PORT of the engine from which to fetch the cached prompt parts. */
    std::optional<std::string> fetch_from;
};

/** Fields of an answer's header that the router uses. */
struct answer_head
{
    unsigned status = 0;
    bool sealed = false;       ///< The header has the engine's signature.
    bool not_executed = false; ///< States that the request was not run.
    bool encoded = false;      ///< The body has a content encoding.
    /** The request id in the header is that of the request that was sent. */
    bool request_id_matches = false;
    /** Id in the header, which is empty if there is none. */
    std::string request_id;
    bool leaving = false; ///< The engine is about to stop.
    /** Time for which an overloaded engine wants no further requests. */
    std::optional<milliseconds> rest_time;
    /** Requests a second that the engine takes from all VMs together. */
    std::optional<double> request_limit;
    /** Set if the engine falls over once it has to turn away more than this
     * many requests in a second, of all VMs together. */
    std::optional<double> bearable_rejections;
    /** How long the engine keeps the connection open while it is idle. */
    std::optional<std::chrono::seconds> idle_timeout;
};

} // namespace rosemarydeck
