/** @file vm_report_type.hpp What one VM learned of engines, for the others. */
#pragma once

#include "router/crash_record_base.hpp"
#include "router/engine_notice_base.hpp"

namespace rosemarydeck
{

/** The entry that one VM publishes to the others. */
struct vm_report
{
    vm_crashes crashes;
    engine_notices notices;

    bool operator==(const vm_report&) const = default;
};

ROSEMARYDECK_JSON_DECLARE(vm_report);

} // namespace rosemarydeck
