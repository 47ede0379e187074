/** @file object_store_base.cpp In-memory object service. */
#include "object_service/object_store_base.hpp"

#include "common/overload_func.hpp"

namespace rosemarydeck
{

namespace
{

tl::unexpected<error> call_error(error_code code, const std::string& name,
                                 const std::string& text)
{
    return tl::unexpected(error{code, "platform call", name, text});
}

bool has_prefix(const std::string& name, const std::string& prefix)
{
    return name.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

std::string kind_of(const platform_request& request)
{
    return std::visit(overload{[](const get_object&) { return "get"; },
                               [](const list_objects&) { return "list"; },
                               [](const create_object&) { return "create"; },
                               [](const update_object&) { return "update"; },
                               [](const delete_object&) { return "delete"; },
                               [](const watch_objects&) { return "watch"; }},
                      request);
}

platform_result object_store::apply(const platform_request& request)
{
    return std::visit([this](const auto& call) { return apply_call(call); },
                      request);
}

platform_result object_store::apply_call(const get_object& request) const
{
    const auto found = objects_.find(request.name);
    if (found == objects_.end() || found->second.deleted)
        return call_error(error_code::not_found, request.name,
                          "no object of this name");
    return platform_reply{revision_, {found->second}};
}

platform_result object_store::apply_call(const list_objects& request) const
{
    platform_reply reply{revision_, {}};
    for (auto at = objects_.lower_bound(request.prefix);
         at != objects_.end() && has_prefix(at->first, request.prefix); ++at)
        if (!at->second.deleted)
            reply.objects.push_back(at->second);
    return reply;
}

platform_result object_store::apply_call(const create_object& request)
{
    const auto found = objects_.find(request.name);
    if (found != objects_.end() && !found->second.deleted)
        return call_error(error_code::already_exists, request.name,
                          "an object of this name exists");
    return write({request.name, 0, request.value, false});
}

platform_result object_store::apply_call(const update_object& request)
{
    const auto found = objects_.find(request.name);
    if (found == objects_.end() || found->second.deleted)
        return call_error(error_code::not_found, request.name,
                          "no object of this name");
    if (found->second.version != request.expected)
        return call_error(error_code::conflict, request.name,
                          "the object's version is not the expected one");
    return write({request.name, 0, request.value, false});
}

platform_result object_store::apply_call(const delete_object& request)
{
    const auto found = objects_.find(request.name);
    if (found == objects_.end() || found->second.deleted)
        return call_error(error_code::not_found, request.name,
                          "no object of this name");
    if (found->second.version != request.expected)
        return call_error(error_code::conflict, request.name,
                          "the object's version is not the expected one");
    return write({request.name, 0, "", true});
}

platform_result object_store::apply_call(const watch_objects& request) const
{
    platform_reply reply{revision_, {}};
    for (auto at = objects_.lower_bound(request.prefix);
         at != objects_.end() && has_prefix(at->first, request.prefix); ++at)
        if (at->second.version > request.since)
            reply.objects.push_back(at->second);
    return reply;
}

platform_result object_store::write(platform_object object)
{
    if (object.value.size() > max_object_bytes)
        return call_error(error_code::invalid_input, object.name,
                          "the value is larger than 1 MiB");
    object.version = ++revision_;
    objects_[object.name] = object;
    object.value.clear();
    return platform_reply{revision_, {object}};
}

} // namespace rosemarydeck
