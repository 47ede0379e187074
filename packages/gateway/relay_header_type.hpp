/** @file relay_header_type.hpp Header fields between VMs of the fleet. */
#pragma once

namespace rosemarydeck
{

/** Of a request that a VM passes on: engines to which it was sent before. */
constexpr const char* relay_sends_field = "Rosemarydeck-Sends";
/** Of the answer: this VM reaches no engine either, the request did not run. */
constexpr const char* relay_no_engine_field = "Rosemarydeck-No-Engine";

} // namespace rosemarydeck
