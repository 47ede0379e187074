/** @file instance_id_func.hpp Names of instances. */
#pragma once

#include "common/id_type.hpp"

#include <charconv>

namespace rosemarydeck
{

/** @param vm A VM. @param started Its start number. @return The instance. */
inline instance_id make_instance_id(const vm_id& vm, std::uint64_t started)
{
    return instance_id(vm.value() + "." + std::to_string(started));
}

/** @param instance An instance. @return The VM that it runs on. */
inline vm_id vm_of(const instance_id& instance)
{
    const auto& text = instance.value();
    return vm_id(text.substr(0, text.rfind('.')));
}

/** @param instance An instance. @return Its start number, 0 if malformed. */
inline std::uint64_t start_number_of(const instance_id& instance)
{
    const auto& text = instance.value();
    const auto dot = text.rfind('.');
    std::uint64_t started = 0;
    if (dot != std::string::npos)
        std::from_chars(text.data() + dot + 1, text.data() + text.size(),
                        started);
    return started;
}

} // namespace rosemarydeck
