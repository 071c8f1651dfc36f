#ifndef CW_GATEWAY_REQUEST_HEAD_H
#define CW_GATEWAY_REQUEST_HEAD_H
/* Request and response heads as the gateway forwards them: which fields it keeps, drops and sets. */
#include "../chalkway_balance.h"
#include "../chalkway_quarantine.h"
#include "../io/message.h"
#include "dialect.h"

#define REQUEST_ID_LOG_MAX 128 /* bytes of a request id in a log line, with its terminating zero */

/* Fields that the gateway sets in a request to a server. */
typedef struct request_head_t {
    const char* request_id; /* if the caller sent none */
    const char* workspace;  /* NULL: none */
    const char* server;
    const char* fetch_from; /* NULL: none */
    const char* last_event; /* NULL: the caller's own field is kept */
    uint32_t deadline_ms;
    uint32_t priority;
    bool has_priority;
    size_t body_size;
} request_head_t;

/* Writes the head of the caller's request for the server. */
void request_head_write(cw_buffer_t* out, const dialect_t* dialect, const cw_message_t* request,
                        const request_head_t* set);
/* Writes the fields of a server's response that are forwarded to the caller. */
void response_fields_write(cw_buffer_t* out, const cw_message_t* response);
/* Returns the name of a field that the gateway reads and that is repeated or malformed; NULL: none. */
const char* request_fields_check(const dialect_t* dialect, const cw_message_t* request);
/* Reads how long the caller will wait, in ms; 0: not given. False: the field is malformed. */
bool request_deadline_read(const dialect_t* dialect, const cw_message_t* request, double* ms);
/* The id of a prompt part from its name in hex, as requests and engines write it; 0: the name is invalid. */
uint64_t request_part_id(const char* name);
/* Adds the parts of the prompt except the last one, which is the request's own. */
void request_suspects_read(cw_suspects_t* suspects, const dialect_t* dialect, const cw_message_t* request);
/* What an engine has which has sent a stream so far. */
typedef struct request_run_t {
    cw_prompt_part_t part; /* last part of the prompt; id 0: unknown */
    uint32_t events;       /* that the caller has received, at least 1 */
} request_run_t;

/* Reads that of a request which resumes a stream. No part is set if the ids of its events are no numbers. */
request_run_t request_run_read(const dialect_t* dialect, const cw_message_t* request);
/* Reads the token counts and the prompt parts of a request. */
void request_work_read(cw_work_t* work, const dialect_t* dialect, const cw_message_t* request);
/* The caller's attempt that began the stream which this request resumes; "": none is named. */
const char* request_resumes(const dialect_t* dialect, const cw_message_t* request);
/* The access key of a request, to be freed by the caller; NULL: it has none. */
char* request_key_read(const dialect_t* dialect, const cw_message_t* request);

#endif
