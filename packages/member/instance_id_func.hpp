/** @file instance_id_func.hpp Parts of instance ids: VM and start number. */
#pragma once

#include "common/id_type.hpp"

#include <charconv>

namespace rosemarydeck
{

/** @param vm The VM that the instance runs on.
 *  @param started Start number of the instance; grows with each start on a VM.
 *  @return The instance's id, VM.STARTED. */
inline instance_id make_instance_id(const vm_id& vm, std::uint64_t started)
{
    return instance_id(vm.value() + "." + std::to_string(started));
}

/** @return The VM that an instance runs on. */
inline vm_id vm_of(const instance_id& instance)
{
    const auto& text = instance.value();
    return vm_id(text.substr(0, text.rfind('.')));
}

/** @return The start number of an instance, or 0 if the id is malformed. */
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
