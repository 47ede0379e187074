/** @file router_samples.hpp Engines and requests for tests. */
#pragma once

#include "router/engine_selector_base.hpp"

#include <string>
#include <vector>

namespace rosemarydeck
{

inline const service_id models("models");

inline time_point at(std::chrono::milliseconds time)
{
    return time_point(time);
}

inline engine_info engine(const std::string& name, bool draining = false)
{
    engine_info made;
    made.id = server_id(name);
    made.service = models;
    made.address = "10.0.0.1";
    made.port = 80;
    made.slots = 4;
    made.draining = draining;
    return made;
}

inline std::vector<engine_info> engines(int count)
{
    std::vector<engine_info> made;
    for (int number = 0; number < count; ++number)
        made.push_back(engine("e" + std::to_string(number)));
    return made;
}

inline placement_request prompt(const std::string& home,
                                token_count shared = 6'000)
{
    placement_request made;
    made.service = models;
    made.shared_prefix_id = home;
    made.shared = shared;
    made.input = shared + 2'000;
    made.output = 100;
    return made;
}

} // namespace rosemarydeck
