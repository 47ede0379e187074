/** @file timeline_json_func.cpp JSON conversion of the timeline's types. */
#include "timeline/timeline_type.hpp"

#include "common/json_func.hpp"

namespace rosemarydeck
{

ROSEMARYDECK_JSON_ENUM(timeline_kind,
                       {{timeline_kind::request_admitted, "request_admitted"},
                        {timeline_kind::request_refused, "request_refused"},
                        {timeline_kind::request_joined, "request_joined"},
                        {timeline_kind::attempt_dispatched,
                         "attempt_dispatched"},
                        {timeline_kind::attempt_failed, "attempt_failed"},
                        {timeline_kind::first_token, "first_token"},
                        {timeline_kind::request_finished, "request_finished"},
                        {timeline_kind::grant_drawn, "grant_drawn"},
                        {timeline_kind::grant_returned, "grant_returned"},
                        {timeline_kind::grant_recalled, "grant_recalled"},
                        {timeline_kind::grant_sealed, "grant_sealed"},
                        {timeline_kind::grant_adopted, "grant_adopted"},
                        {timeline_kind::budget_exhausted, "budget_exhausted"},
                        {timeline_kind::bills_stored, "bills_stored"},
                        {timeline_kind::bill_reversed, "bill_reversed"},
                        {timeline_kind::claim_taken, "claim_taken"},
                        {timeline_kind::config_in_force, "config_in_force"},
                        {timeline_kind::config_rejected, "config_rejected"},
                        {timeline_kind::peer_up, "peer_up"},
                        {timeline_kind::peer_down, "peer_down"},
                        {timeline_kind::peer_gone, "peer_gone"},
                        {timeline_kind::server_leaving, "server_leaving"},
                        {timeline_kind::platform_lost, "platform_lost"},
                        {timeline_kind::platform_back, "platform_back"},
                        {timeline_kind::draining, "draining"}})

ROSEMARYDECK_JSON(hybrid_time, wall_us, counter)

ROSEMARYDECK_JSON(timeline_event, when, vm, data_centre, kind, customer, key,
                  detail)

} // namespace rosemarydeck
