/// \file
/// Routes of the HTTP API and their handlers.
#ifndef HAWTHORNBEAM_LIB_API_HANDLERS_HPP
#define HAWTHORNBEAM_LIB_API_HANDLERS_HPP

#include "hawthornbeam/api/http_api.hpp"
#include "lib/api/exchange.hpp"

#include <optional>
#include <string_view>

namespace hawthornbeam
{

using exchange_ref = std::shared_ptr<exchange>;

/// Authorization that a route requires.
enum class required_access : std::uint8_t
{
    anyone,        ///< No token needed.
    authenticated, ///< Any known token.
    operators      ///< An operator's token.
};

/// Handlers of all routes. Each answers its exchange exactly once.
class api_handlers
{
public:
    using handler = void (api_handlers::*)(const exchange_ref&);

    /// Maps a method and path to a handler; '*' in the path captures one segment.
    struct route
    {
        const char* method;
        const char* path;
        required_access allowed;
        handler run;
    };

    explicit api_handlers(const http_api::parts& services) : services_(services) {}

    /// Returns the route for \p method and \p path and fills in \p captures; nullptr when
    /// there is none. \p path_known is true when the path exists, so that a caller can
    /// tell an unsupported method from an unknown path.
    static const route* find(std::string_view method, std::string_view path,
                             std::vector<std::string>& captures, bool& path_known);

private:
    void submit(const exchange_ref& request);
    void show_job(const exchange_ref& request);
    void explain_job(const exchange_ref& request);
    void list_jobs(const exchange_ref& request);
    void cancel_job(const exchange_ref& request);
    void cancel_jobs(const exchange_ref& request);

    void show_table(const exchange_ref& request);
    void replace_table(const exchange_ref& request);
    void patch_row(const exchange_ref& request);
    void delete_row(const exchange_ref& request);
    void table_history(const exchange_ref& request);
    void table_status(const exchange_ref& request);

    void list_instances(const exchange_ref& request);
    void list_workers(const exchange_ref& request);
    void drain_worker(const exchange_ref& request);
    void undrain_worker(const exchange_ref& request);
    void show_metrics(const exchange_ref& request);
    void show_snapshot(const exchange_ref& request);
    void show_health(const exchange_ref& request);
    void show_readiness(const exchange_ref& request);

    void answer_submission(const exchange_ref& request,
                           const result<wire::job_status>& outcome);
    /// Queries the job named in the path and runs \p continuation with its status.
    /// Responds with a problem when the query fails or the job belongs to another
    /// partner.
    void with_job(const exchange_ref& request, bool explain,
                  std::function<void(const wire::job_status&)> continuation);
    std::optional<table_version> if_match(const exchange_ref& request) const;
    void store_rows(const exchange_ref& request, std::vector<table_row> rows,
                    table_version expected);
    void answer_edit(const exchange_ref& request, const edit_outcome& outcome);
    void set_drained(const exchange_ref& request, bool drained);

    http_api::parts services_;
};

} // namespace hawthornbeam

#endif
