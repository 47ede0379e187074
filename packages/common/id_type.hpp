/** @file id_type.hpp Identifier types shared by all packages. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace rosemarydeck
{

/** A string identifier; each tag makes a type of its own. */
template <class Tag>
class strong_string
{
public:
    strong_string() = default;
    explicit strong_string(std::string value) : value_(std::move(value)) {}

    /** @return The identifier as text. */
    [[nodiscard]] const std::string& value() const { return value_; }
    /** @return True if no identifier is set. */
    [[nodiscard]] bool empty() const { return value_.empty(); }

    auto operator<=>(const strong_string&) const = default;

private:
    std::string value_;
};

/** Writes a string identifier as a JSON string. */
template <class Json, class Tag>
void to_json(Json& json, const strong_string<Tag>& id)
{
    json = id.value();
}

/** Reads a string identifier; throws nlohmann::json::type_error. */
template <class Json, class Tag>
void from_json(const Json& json, strong_string<Tag>& id)
{
    id = strong_string<Tag>(json.template get<std::string>());
}

/** A number identifier; each tag makes a type of its own. */
template <class Tag>
class strong_number
{
public:
    strong_number() = default;
    explicit strong_number(std::uint64_t value) : value_(value) {}

    /** @return The identifier as a plain number. */
    [[nodiscard]] std::uint64_t value() const { return value_; }

    auto operator<=>(const strong_number&) const = default;

private:
    std::uint64_t value_ = 0;
};

/** Writes a number identifier as a JSON number. */
template <class Json, class Tag>
void to_json(Json& json, const strong_number<Tag>& id)
{
    json = id.value();
}

/** Reads a number identifier; throws nlohmann::json::type_error. */
template <class Json, class Tag>
void from_json(const Json& json, strong_number<Tag>& id)
{
    id = strong_number<Tag>(json.template get<std::uint64_t>());
}

/** Name of a VM; it stays the same when its process restarts. */
using vm_id = strong_string<struct vm_tag>;
/** One run of the daemon on a VM: VM name, a dot, Unix time of the start in
 *  microseconds. */
using instance_id = strong_string<struct instance_tag>;
/** Name of a data centre. */
using dc_id = strong_string<struct dc_tag>;
using region_id = strong_string<struct region_tag>;
/** Name of a customer. */
using customer_id = strong_string<struct customer_tag>;
/** Name of a backend server. */
using server_id = strong_string<struct server_tag>;
/** Name of a model or of a service without a model. */
using target_id = strong_string<struct target_tag>;
/** Idempotency key of one request of one customer. */
using idempotency_key = strong_string<struct idempotency_tag>;
/** Name of a grant, unique among all holders. */
using grant_id = strong_string<struct grant_tag>;
/** Version of the software that an engine runs. */
using software_version = strong_string<struct software_version_tag>;
/** Id of the client attempt that brought a stream's first event. */
using stream_id = strong_string<struct stream_tag>;
/** Something that requests have in common: path, caller and body, or one part
 *  of their prompts. */
using request_trait = strong_string<struct request_trait_tag>;
/** Number of a request, unique on one VM. */
using request_id = strong_number<struct request_tag>;
/** Number of a platform call, unique on one VM. */
using call_id = strong_number<struct call_tag>;

/** An amount of model tokens. */
using token_count = std::int64_t;

} // namespace rosemarydeck

template <class Tag>
struct std::hash<rosemarydeck::strong_string<Tag>>
{
    std::size_t operator()(const rosemarydeck::strong_string<Tag>& id) const
    {
        return std::hash<std::string>()(id.value());
    }
};

template <class Tag>
struct std::hash<rosemarydeck::strong_number<Tag>>
{
    std::size_t operator()(const rosemarydeck::strong_number<Tag>& id) const
    {
        return std::hash<std::uint64_t>()(id.value());
    }
};
