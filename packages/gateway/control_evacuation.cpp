/** @file control_evacuation.cpp Data centres whose engines must not be used. */
#include "gateway/control_service_base.hpp"

namespace rosemarydeck
{

void control_service::replace_evacuations(const platform::store_list& list)
{
    auto ended = std::exchange(evacuated_, {});
    for (const auto& object : list.objects) {
        ended.erase(dc_id(object.name));
        evacuated_.insert(dc_id(object.name));
    }
    for (const auto& data_centre : ended)
        log_.write("evacuation_ended", {{"data_centre", data_centre.value()},
                                        {"revision", list.revision}});
    directory_.set_evacuated(evacuated_, clock_.now());
    evacuations_loaded_ = true;
    if (!ended.empty())
        publish_view();
}

void control_service::apply_evacuation(const platform::store_event& event)
{
    const dc_id data_centre(event.object.name);
    if (event.removed)
        evacuated_.erase(data_centre);
    else
        evacuated_.insert(data_centre);
    log_.write(event.removed ? "evacuation_ended" : "evacuated",
               {{"data_centre", data_centre.value()},
                {"revision", event.object.revision}});
    directory_.set_evacuated(evacuated_, clock_.now());
}

} // namespace rosemarydeck
