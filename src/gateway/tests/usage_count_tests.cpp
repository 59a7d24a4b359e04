// Tests that each request that began to run at a server is counted once for its caller's organisation.
#include "gateway/mocks/forwarding_fixture.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

const http_headers valid_response_headers{{"id", "r1"}, {"signed", "1"}};
const std::string first_event = "id: 1\ndata: a\n\n";

class counting_recorder final : public usage_recorder {
public:
    void record_began(const std::string& organisation) override
    {
        this->began.push_back(organisation);
    }

    std::vector<std::string> began;
};

class usage_fixture : public forwarding_fixture {
public:
    explicit usage_fixture(route_kind kind)
    {
        this->active_route.kind = kind;
        this->active_route.is_resumable = true;
        this->key = "k1";
        route_table table;
        table.version = 1;
        table.organisations = organisation_list{{{"bank", 1, {digest_of_key("k1")}}}, {}};
        CPPUNIT_ASSERT(this->routes.apply(std::move(table)));
        this->usage = &this->recorder;
    }

    counting_recorder recorder;
    const std::vector<std::string> counted_once{"bank"};
};

class usage_count_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(usage_count_tests);
    CPPUNIT_TEST(counts_streams);
    CPPUNIT_TEST(counts_other_requests);
    CPPUNIT_TEST_SUITE_END();

public:
    void counts_streams()
    {
        section("a stream counts from its first event on, once, though it is resumed elsewhere", [] {
            usage_fixture gateway(route_kind::streaming);
            gateway.send();
            gateway.call(0).handler->on_head(200, valid_response_headers);
            CPPUNIT_ASSERT(gateway.recorder.began.empty());
            gateway.call(0).handler->on_data(first_event);
            CPPUNIT_ASSERT(gateway.recorder.began == gateway.counted_once);
            gateway.call(0).fail(call_progress::maybe_sent);
            gateway.call(1).respond(200, valid_response_headers, "id: 2\ndata: b\n\n");
            CPPUNIT_ASSERT_EQUAL(1, gateway.finished_requests);
            CPPUNIT_ASSERT(gateway.recorder.began == gateway.counted_once);
        });
        section("an attempt without events does not count, the one after it does", [] {
            usage_fixture gateway(route_kind::streaming);
            gateway.send();
            gateway.call(0).fail(call_progress::maybe_sent);
            CPPUNIT_ASSERT(gateway.recorder.began.empty());
            gateway.call(1).respond(200, valid_response_headers, first_event);
            CPPUNIT_ASSERT(gateway.recorder.began == gateway.counted_once);
        });
        section("the prefill on a separate engine does not count", [] {
            usage_fixture gateway(route_kind::streaming);
            gateway.pool.servers().replace_all({});
            gateway.add_server("d", engine_role::decode);
            gateway.add_server("p", engine_role::prefill);
            gateway.prompt = {5, 6'000, 2'000, 10};
            gateway.is_model = true;
            gateway.send();
            gateway.call(0).respond(200, {{"id", "r1"}}, "h7");
            CPPUNIT_ASSERT(gateway.recorder.began.empty());
            gateway.call(1).respond(200, valid_response_headers, first_event);
            CPPUNIT_ASSERT(gateway.recorder.began == gateway.counted_once);
        });
    }

    void counts_other_requests()
    {
        section("a request without events counts at the head of its response", [] {
            usage_fixture gateway(route_kind::idempotent);
            gateway.send();
            gateway.call(0).handler->on_head(200, valid_response_headers);
            CPPUNIT_ASSERT(gateway.recorder.began == gateway.counted_once);
        });
        section("it counts once though its server failed and another one ran it", [] {
            usage_fixture gateway(route_kind::idempotent);
            gateway.send();
            gateway.call(0).respond(500, valid_response_headers, "");
            gateway.call(1).respond(200, valid_response_headers, "");
            CPPUNIT_ASSERT(gateway.recorder.began == gateway.counted_once);
        });
        section("a refusal does not count", [] {
            usage_fixture gateway(route_kind::non_idempotent);
            gateway.retries = retry_budget{0, 0};
            gateway.send();
            gateway.call(0).respond(503, {{"id", "r1"}, {"not-run", "1"}}, "");
            CPPUNIT_ASSERT(gateway.recorder.began.empty());
        });
        section("a request without an organisation does not count", [] {
            usage_fixture gateway(route_kind::idempotent);
            gateway.active_route.is_public = true;
            gateway.key.clear();
            gateway.send();
            gateway.call(0).respond(200, valid_response_headers, "");
            CPPUNIT_ASSERT(gateway.recorder.began.empty());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_count_tests);

} // namespace

} // namespace tanager
