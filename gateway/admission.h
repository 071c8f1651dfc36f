#ifndef CW_GATEWAY_ADMISSION_H
#define CW_GATEWAY_ADMISSION_H
/*
    Admits or denies a request according to the active configuration: determines its route, workspace, priority and
    time limit. Reads the request's head and the catalog, and changes nothing.
*/
#include "../chalkway_catalog.h"
#include "../io/message.h"
#include "dialect.h"

typedef struct admission_t {
    unsigned status; /* 0: admitted; otherwise the status of the denial */
    const char* why; /* reason of a denial */
    const cw_route_t* route;
    const cw_catalog_workspace_t* workspace; /* NULL: none */
    uint32_t priority;                       /* 0 is the highest */
    uint32_t urgency;       /* as sent to servers, 0 is the highest; by the route's tier, then by priority */
    uint32_t time_limit_ms; /* longest time until the response is complete */
    bool repeatable;        /* the request may be retried after any failure */
} admission_t;

/* Checks a request. status and why are always set, the other fields only if it is admitted. */
admission_t admission_check(const dialect_t* dialect, const cw_catalog_t* catalog, const cw_message_t* request);
/* Time after which a caller should retry at a host that has no configuration yet. is_source_unavailable: the source
   seems unavailable to all hosts, so a caller that retried quickly would use up its attempts. */
uint32_t admission_unconfigured_retry_ms(const dialect_t* dialect, const cw_message_t* request,
                                         bool is_source_unavailable, uint64_t random_number);

#endif
