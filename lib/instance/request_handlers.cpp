/// \file
/// Handlers of the requests from other instances.
#include "lib/instance/implementation.hpp"

namespace hawthornbeam
{

namespace
{

constexpr duration explain_deadline = std::chrono::seconds(1);

wire::failure_reply failure(const error& cause)
{
    return wire::failure_reply{cause.code, cause.message};
}

} // namespace

void instance::implementation::handle(const instance_id& from, wire::request message,
                                      reply_callback answer)
{
    check_for_pause();
    std::visit([&](auto&& content)
               { on(from, std::forward<decltype(content)>(content), std::move(answer)); },
               std::move(message));
}

void instance::implementation::on(const instance_id& from, wire::submit_request message,
                                  reply_callback answer)
{
    if (!is_known_alive(from))
        return answer(wire::failure_reply{error_code::unavailable,
                                          "the sender is not a member here yet"});
    jobs.submit(message.job,
                [answer = std::move(answer)](result<wire::job_status> status)
                {
                    if (status)
                        answer(wire::submit_reply{std::move(status).value()});
                    else
                        answer(failure(status.error()));
                });
}

void instance::implementation::on(const instance_id&, const wire::job_query& message,
                                  reply_callback answer)
{
    result<wire::job_status> found = jobs.query(message.id);
    if (!found)
        return answer(failure(found.error()));
    const std::optional<std::pair<instance_id, task_id>> waiting =
        message.explain ? jobs.waiting_at_slice_owner(message.id) : std::nullopt;
    if (message.explain && !waiting)
        found.value().reason = jobs.explain(message.id);
    const member* target = waiting ? shared.parts.members.find(waiting->first) : nullptr;
    if (target == nullptr)
        return answer(wire::job_reply{true, std::move(found).value()});
    shared.parts.peers.call(
        target->peer, wire::explain_request{waiting->second}, explain_deadline,
        [answer, status = std::move(found).value()](result<wire::reply> reply) mutable
        {
            const wire::explain_reply* reason =
                reply ? std::get_if<wire::explain_reply>(&reply.value()) : nullptr;
            if (reason != nullptr)
                status.reason = reason->reason;
            answer(wire::job_reply{true, status});
        });
}

void instance::implementation::on(const instance_id&,
                                  const wire::job_list_request& message,
                                  const reply_callback& answer)
{
    answer(wire::job_list_reply{jobs.list(message)});
}

void instance::implementation::on(const instance_id&, const wire::cancel_request& message,
                                  const reply_callback& answer)
{
    answer(jobs.cancel(message));
}

void instance::implementation::on(const instance_id&, const wire::start_request& message,
                                  const reply_callback& answer)
{
    answer(slices.start(message));
}

void instance::implementation::on(const instance_id& from,
                                  const wire::update_request& message,
                                  const reply_callback& answer)
{
    jobs.update(from, message, [answer](wire::update_reply reply) { answer(reply); });
}

void instance::implementation::on(const instance_id&, const wire::stop_request& message,
                                  const reply_callback& answer)
{
    answer(slices.stop(message));
}

void instance::implementation::on(const instance_id&,
                                  const wire::inventory_request& message,
                                  const reply_callback& answer)
{
    answer(slices.inventory(message));
}

void instance::implementation::on(const instance_id&, const wire::epochs_request&,
                                  const reply_callback& answer)
{
    answer(slices.epochs());
}

void instance::implementation::on(const instance_id&, const wire::table_fetch& message,
                                  const reply_callback& answer)
{
    const operators_table& table = shared.parts.table.current();
    wire::table_reply reply;
    reply.version = table.version;
    if (table.version > message.known)
        reply.json = to_json(table);
    answer(std::move(reply));
}

void instance::implementation::on(const instance_id&, const wire::status_request& message,
                                  const reply_callback& answer)
{
    answer(status(message));
}

void instance::implementation::on(const instance_id&, const wire::drain_request& message,
                                  const reply_callback& answer)
{
    answer(wire::drain_reply{slices.drain(message.worker, message.drained)});
}

void instance::implementation::on(const instance_id&,
                                  const wire::explain_request& message,
                                  const reply_callback& answer)
{
    answer(wire::explain_reply{slices.explain(message.task)});
}

} // namespace hawthornbeam
