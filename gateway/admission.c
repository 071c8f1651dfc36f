#include "admission.h"

#include <stdlib.h>
#include <string.h>

#include "request_head.h"

#define HOST_MAX 256
#define UNCONFIGURED_RETRY_MS 300   /* by then a host that just started has a configuration, or other hosts have one */
#define PRIORITIES_PER_TIER 3       /* workspace priorities within a tier; three tiers fit into 0 to 9 */
#define UNAVAILABLE_RETRY_SHARE 0.2 /* of the caller's remaining time, plus up to half as much at random */

static const cw_route_t* find_route(const cw_catalog_t* catalog, const cw_message_t* m) {
    char host[HOST_MAX];
    const char* field = cw_message_field(m, "Host");
    cw_copy(host, sizeof(host), field ? field : "");
    host[strcspn(host, ":")] = 0;
    return cw_catalog_find_route(catalog, host, m->target, strcspn(m->target, "?#"));
}

static admission_t deny(unsigned status, const char* why) {
    return (admission_t){.status = status, .why = why};
}

static uint32_t time_limit_ms(const dialect_t* dialect, const cw_message_t* m, const cw_route_t* route) {
    double requested_ms = 0;
    request_deadline_read(dialect, m, &requested_ms); /* request_fields_check has rejected malformed values */
    return requested_ms > 0 && requested_ms < route->timeout_ms ? (uint32_t)requested_ms : route->timeout_ms;
}

/* The urgency that is sent to servers, up to the dialect's priority_max: by the route's tier first, then by the
   workspace's priority. A full engine preempts the newest of its least urgent requests. A request that
   can't wait must never be preempted while requests that can wait keep running, whichever workspace sent them, so the
   workspace's priority decides only within a tier. */
static uint32_t urgency(const dialect_t* dialect, uint32_t priority, uint32_t tier) {
    uint32_t clamped = priority < PRIORITIES_PER_TIER ? priority : PRIORITIES_PER_TIER - 1;
    uint32_t urgency_value = tier * PRIORITIES_PER_TIER + clamped;
    return urgency_value < dialect->priority_max ? urgency_value : dialect->priority_max;
}

admission_t admission_check(const dialect_t* dialect, const cw_catalog_t* catalog, const cw_message_t* m) {
    const cw_catalog_workspace_t* workspace = NULL;
    if (m->target[0] != '/' || cw_message_count_field(m, "Host") != 1) {
        return deny(400, "bad request target or host");
    }
    const char* malformed = request_fields_check(dialect, m);
    if (malformed) {
        return deny(400, malformed);
    }
    const cw_route_t* route = find_route(catalog, m);
    if (!route) {
        return deny(404, "no route");
    }
    char* key = request_key_read(dialect, m);
    if (key) {
        workspace = cw_catalog_find_workspace(catalog, key);
        free(key);
    }
    if (catalog->requires_keys && !route->is_public && !workspace) {
        return deny(401, "unknown key");
    }
    bool is_resumable = route->kind == CW_ROUTE_STREAM && route->is_resumable;
    uint32_t priority = workspace && workspace->has_tier ? workspace->tier : route->tier;
    return (admission_t){.why = "",
                         .route = route,
                         .workspace = workspace,
                         .priority = priority,
                         .urgency = urgency(dialect, priority, route->tier),
                         .time_limit_ms = time_limit_ms(dialect, m, route),
                         .repeatable = route->kind == CW_ROUTE_REPEATABLE || is_resumable};
}

uint32_t admission_unconfigured_retry_ms(const dialect_t* dialect, const cw_message_t* m, bool is_source_unavailable,
                                         uint64_t random_number) {
    double left_ms = 0;
    if (!request_deadline_read(dialect, m, &left_ms)) {
        left_ms = 0; /* a host with a configuration will reject the malformed field */
    }
    double share = UNAVAILABLE_RETRY_SHARE * (1 + (double)(random_number % 500) / 1000);
    bool has_deadline = left_ms > 0 && left_ms < UINT32_MAX;
    uint32_t later_ms = is_source_unavailable && has_deadline ? (uint32_t)(left_ms * share) : 0;
    return later_ms > UNCONFIGURED_RETRY_MS ? later_ms : UNCONFIGURED_RETRY_MS;
}
