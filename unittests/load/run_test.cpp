/// \file
/// Tests of load_run with a transport that replies from a script.
#include "hawthornbeam/load/account.hpp"

#include <deque>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace hawthornbeam
{

namespace
{

/// Records each request and answers it with the next scripted reply. Requests stay open
/// when no reply is left.
class scripted_transport final : public load_transport
{
public:
    explicit scripted_transport(event_loop& loop) : loop_(loop) {}

    void send(load_request request, callback done) override
    {
        sent.push_back(request.method + " " + request.path);
        bodies.push_back(request.body);
        if (replies.empty())
        {
            open.push_back(std::move(done));
            return;
        }
        const result<load_reply> reply = replies.front();
        replies.pop_front();
        loop_.post([reply, done = std::move(done)] { done(reply); });
    }

    std::vector<std::string> sent;
    std::vector<std::string> bodies;
    std::vector<callback> open;
    std::deque<result<load_reply>> replies;

private:
    event_loop& loop_;
};

load_reply status_reply(unsigned status, const char* verdict, const char* output)
{
    return load_reply{status,
                      fmt::format(R"({{"verdict":"{}","results":[{{"index":0,)"
                                  R"("state":"finished","known":true,"output":"{}"}}]}})",
                                  verdict, output)};
}

const load_reply refusal{503, R"({"not_run":true,"title":"busy","retry_after_ms":700})"};
const load_reply not_found{404, R"({"not_run":false,"title":"no such job"})"};
const error connection_closed{error_code::outcome_unknown, "the connection was closed"};

load_stream synchronous_stream()
{
    load_stream stream;
    stream.name = "s";
    stream.partner = "p";
    stream.kind = "k";
    stream.count = 1;
    stream.synchronous = true;
    stream.deadline = std::chrono::seconds(2);
    stream.payload = "mine";
    return stream;
}

class LoadRunTest : public testing::Test
{
protected:
    void run(const load_stream& stream, std::uint32_t max_open = 8)
    {
        load_run::options options;
        options.plan.streams = {stream};
        options.plan.max_open = max_open;
        options.instances = {"a", "b"};
        options.name = "t";
        load_.emplace(loop_, transport_, std::move(options));
        load_->start([this] { done_ = true; });
        loop_.advance(std::chrono::seconds(1));
    }
    const load_job& job() const { return load_->jobs().at(0); }

    manual_event_loop loop_;
    scripted_transport transport_{loop_};
    std::optional<load_run> load_;
    bool done_ = false;
};

/// Guards against resubmitting a synchronous job that may have run.
TEST_F(LoadRunTest, QueriesTheJobAfterAnUnknownOutcome)
{
    transport_.replies = {connection_closed, not_found,
                          status_reply(200, "done", "mine")};
    run(synchronous_stream());
    const std::string query = "GET /v1/jobs/" + job().id.text();
    EXPECT_EQ(transport_.sent, (std::vector<std::string>{"POST /v1/jobs", query, query}));
    EXPECT_EQ(job().fate, job_fate::done);
    EXPECT_TRUE(done_);
}

/// Guards against a job that stays unresolved or is resubmitted when no instance finds
/// it.
TEST_F(LoadRunTest, EndsAsUnknownWhenNoInstanceFindsTheJob)
{
    transport_.replies.assign(100, not_found);
    transport_.replies.push_front(connection_closed);
    run(synchronous_stream());
    loop_.advance(std::chrono::seconds(20));
    EXPECT_EQ(job().fate, job_fate::unknown);
    EXPECT_EQ(std::count(transport_.sent.begin(), transport_.sent.end(), "POST /v1/jobs"),
              1);
}

/// Guards against retries before the requested delay or under a new id.
TEST_F(LoadRunTest, RetriesAfterTheDelayOfTheRefusal)
{
    load_stream stream = synchronous_stream();
    stream.retries = 1;
    transport_.replies = {refusal};
    run(stream);
    ASSERT_EQ(transport_.sent.size(), 2U);
    EXPECT_EQ(transport_.bodies[0], transport_.bodies[1]);
    EXPECT_EQ(job().refusals, 1U);
    transport_.open[0](refusal);
    EXPECT_EQ(job().fate, job_fate::refused);
}

/// Guards against accepting the reply to another request as correct.
TEST_F(LoadRunTest, CountsTheReplyToAnotherRequestAsWrong)
{
    transport_.replies = {status_reply(200, "done", "yours")};
    run(synchronous_stream());
    EXPECT_EQ(judge(*load_).wrong_answers, 1U);
}

/// Guards against reporting a lost accepted job as unfinished.
TEST_F(LoadRunTest, CountsAnAcceptedJobThatIsNotFoundAsLost)
{
    load_stream stream = synchronous_stream();
    stream.synchronous = false;
    transport_.replies.assign(100, not_found);
    transport_.replies.push_front(
        load_reply{202, R"({"verdict":"accepted","results":[]})"});
    run(stream);
    loop_.advance(std::chrono::seconds(40));
    EXPECT_TRUE(done_);
    EXPECT_EQ(judge(*load_).lost, 1U);
}

/// Guards against exceeding the maximum number of concurrent requests of the plan.
TEST_F(LoadRunTest, LimitsConcurrentRequests)
{
    load_stream stream = synchronous_stream();
    stream.count = 5;
    run(stream, 2);
    EXPECT_EQ(transport_.sent.size(), 2U);
    transport_.open[0](status_reply(200, "done", "mine"));
    EXPECT_EQ(transport_.sent.size(), 3U);
}

} // namespace

} // namespace hawthornbeam
