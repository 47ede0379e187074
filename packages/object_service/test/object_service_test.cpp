/** @file object_service_test.cpp Tests of object store and HTTP conversion. */
#include "object_service/object_codec_func.hpp"
#include "object_service/object_store_base.hpp"

#include <catch2/catch.hpp>

using namespace rosemarydeck;

TEST_CASE("writes are conditional on the version")
{
    object_store store;
    const auto created = store.apply(create_object{"a", "1"});
    REQUIRE(created);
    const auto version = created->objects.front().version;
    CHECK(store.apply(create_object{"a", "2"}).error().code ==
          error_code::already_exists);
    CHECK(store.apply(update_object{"a", version, "2"}));
    CHECK(store.apply(update_object{"a", version, "3"}).error().code ==
          error_code::conflict);
    CHECK(store.apply(get_object{"a"})->objects.front().value == "2");
    CHECK(store.apply(get_object{"b"}).error().code == error_code::not_found);
    CHECK(store.apply(create_object{"c", std::string(2'000'000, 'x')})
              .error()
              .code == error_code::invalid_input);
}

TEST_CASE("a watch returns later writes, including deletions")
{
    object_store store;
    const auto a = store.apply(create_object{"p/a", "1"});
    store.apply(create_object{"q/b", "1"});
    const auto since = a->revision;
    CHECK(store.apply(watch_objects{"p/", since, {}})->objects.empty());
    store.apply(delete_object{"p/a", a->objects.front().version});
    const auto writes = store.apply(watch_objects{"p/", since, {}});
    REQUIRE(writes->objects.size() == 1);
    CHECK(writes->objects.front().deleted);
}

TEST_CASE("calls and results are unchanged after conversion to HTTP and back")
{
    const std::vector<platform_request> calls{
        get_object{"x/y"},
        list_objects{"x/"},
        create_object{"x/y", "v"},
        update_object{"x/y", 7, "v"},
        delete_object{"x/y", 7},
        watch_objects{"x/", 3, std::chrono::milliseconds(50)}};
    for (const auto& call : calls) {
        const auto decoded = decode_call(encode_call(call));
        REQUIRE(decoded);
        CHECK(*decoded == call);
    }
    const platform_result reply = platform_reply{4, {{"a", 2, "v", false}}};
    CHECK(decode_result(status_of(reply), encode_result(reply)) == reply);
    CHECK(decode_result(200, "not json").error().code ==
          error_code::unavailable);
    CHECK(decode_result(412, "{}").error().code == error_code::conflict);
    CHECK_FALSE(decode_call({"PUT", "/v1/objects/a", ""}));
    CHECK_FALSE(decode_call({"GET", "/elsewhere", ""}));
}
