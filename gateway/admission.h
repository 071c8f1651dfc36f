#ifndef CW_GATEWAY_ADMISSION_H
#define CW_GATEWAY_ADMISSION_H
/*
    What a request may do by the configuration in force: its route, its workspace, its priority and how long it is held;
    or why it is denied. It reads the request's head and the catalog, and changes nothing.
*/
#include "../chalkway_catalog.h"
#include "../io/message.h"
#include "dialect.h"

typedef struct admission_t {
    unsigned status; /* 0: admitted; else the status that denies it */
    const char* why; /* of a denial */
    const cw_route_t* route;
    const cw_tenant_t* workspace; /* NULL: none */
    uint32_t priority;            /* 0 goes first */
    uint32_t urgency;             /* what servers are told, 0 first: by kind of work, then by priority */
    uint32_t time_limit_ms;       /* longest time until its answer */
    bool repeatable;              /* it may run again after any failure */
} admission_t;

/* Judges a request; status and why are set in any case, the rest only where it is admitted. */
admission_t admission_check(const dialect_t* dialect, const cw_catalog_t* catalog, const cw_message_t* request);
/* Time to come back to a host that has no configuration yet. away: its source seems to be away for everybody, so
   callers that came back at once would use up their tries. draw: random. */
uint32_t admission_unconfigured_retry_ms(const dialect_t* dialect, const cw_message_t* request, bool away,
                                         uint64_t draw);

#endif
