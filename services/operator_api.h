#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "libraries/configuration/configuration_view.h"
#include "libraries/configuration/log_store.h"
#include "libraries/configuration/proposal_store.h"
#include "libraries/configuration/publisher.h"
#include "services/operator_message.h"

#include <array>
#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace wisterialane::services {

/// What operators can ask for, as functions from request to response. Thread-safe.
///
/// | method and path | result |
/// | --- | --- |
/// | `GET /v1/status` | version, freshness and number of objects on this host |
/// | `GET /v1/configuration` | the set in force on this host, in the form of a snapshot |
/// | `GET /v1/history?before=N&limit=M` | summaries of records, newest first |
/// | `GET /v1/records/N` | one whole record |
/// | `GET /v1/versions/N` | how far a version has spread |
/// | `POST /v1/check` | 200, or 422 with all faults of the changes |
/// | `POST /v1/diff` | the changed objects before and after |
/// | `GET /v1/proposals?after=ID&limit=M` | proposals in the order of their ids |
/// | `POST /v1/proposals` | stores a proposal |
/// | `GET /v1/proposals/ID` | one proposal |
/// | `GET /v1/proposals/ID/diff` | its changed objects before and after |
/// | `POST /v1/proposals/ID/review` | approves it |
/// | `POST /v1/proposals/ID/publish` | publishes it |
/// | `POST /v1/keys/NAME/withdraw` | proposes and publishes the withdrawal of a key |
///
/// The body of `check`, `diff` and of a new proposal is `{"changes": [...], "base_version": N}`; the base version may
/// be left out and is then the one in force on this host.
class operator_api {
public:
    /// The collaborators must outlive the object.
    operator_api(configuration::configuration_view& view, platform::table& table, platform::object_store& objects,
                 kernel::clock_source clock);

    [[nodiscard]] operator_response handle(const operator_request& request);

private:
    using handler = operator_response (operator_api::*)(const operator_request&);

    struct endpoint {
        std::string_view method;
        /// `*` stands for any one segment.
        std::vector<std::string_view> path;
        handler handle;
    };

    static const std::vector<endpoint>& endpoints();

    operator_response show_status(const operator_request& request);
    operator_response show_configuration(const operator_request& request);
    operator_response show_history(const operator_request& request);
    operator_response show_record(const operator_request& request);
    operator_response show_version(const operator_request& request);
    operator_response check(const operator_request& request);
    operator_response diff(const operator_request& request);
    operator_response list_proposals(const operator_request& request);
    operator_response propose(const operator_request& request);
    operator_response show_proposal(const operator_request& request);
    operator_response diff_proposal(const operator_request& request);
    operator_response review(const operator_request& request);
    operator_response publish(const operator_request& request);
    operator_response withdraw_key(const operator_request& request);

    operator_response publish_proposal(const kernel::proposal_id& id, const kernel::operator_name& sender);
    operator_response describe_changes(const std::vector<configuration::change>& changes) const;
    [[nodiscard]] kernel::version_number held_version() const;

    configuration::configuration_view& view_;
    configuration::log_store log_;
    configuration::proposal_store proposals_;
    configuration::publisher publisher_;
    kernel::clock_source clock_;
};

} // namespace wisterialane::services
