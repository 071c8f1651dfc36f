#ifndef CW_GATEWAY_DIALECT_H
#define CW_GATEWAY_DIALECT_H
/*
    The names that requests, answers, lookups and the configuration source use. The gateway decides; a dialect only
    spells. dialect_native is chalkway's own; another one is handed to gateway_main by the program that speaks it.
*/
#include "../chalkway_balance.h"
#include "../chalkway_servers.h"

/* Names of header fields. A NULL name: the dialect has none. */
typedef struct dialect_fields_t {
    const char* request_id;   /* of one attempt of a caller; the server's answer repeats it */
    const char* deadline_ms;  /* time that the caller, or the gateway, will wait */
    const char* key;          /* holds the workspace's key; never passed on */
    const char* key_scheme;   /* word before the key */
    const char* workspace;    /* set by the gateway: name of the key's workspace */
    const char* server;       /* set by the gateway: id of the server that the request is meant for */
    const char* server_id;    /* in an answer: id of the server that gave it */
    const char* not_run;      /* in an answer: the server did not run the request */
    const char* signature;    /* in an answer: proves that it is the server's */
    const char* priority;     /* set by the gateway: 0 first */
    const char* last_event;   /* a stream goes on after this event */
    const char* retry_after;  /* seconds, fractions allowed */
    const char* leaving;      /* in an answer, "1": the server leaves */
    const char* limit;        /* in an answer: requests a second that the server takes from all hosts together */
    const char* tokens;       /* "IN,OUT" of a generation */
    const char* parts;        /* "ID:TOKENS,..." of its prompt, IDs in hex */
    const char* fetch_from;   /* set by the gateway: IP:PORT of an engine that keeps more of the prompt */
    const char* const* owned; /* further fields that only the gateway may set, NULL at the end */
} dialect_fields_t;

typedef void (*part_visit_t)(void* user_data, const cw_work_part_t* part);

/* For how long a caller of a stream listens in vain, before its first event too: the longest of these. All 0: until its
   deadline. */
typedef struct dialect_read_timeout_t {
    uint32_t ms;
    uint32_t targets; /* times the route's target */
    uint32_t gaps;    /* times the longest pause between events that the route allows */
} dialect_read_timeout_t;

typedef struct dialect_t {
    const char* name;
    dialect_fields_t fields;
    unsigned misdirected_status; /* a server's status for a request meant for another one: it did not run it */
    unsigned priority_max;       /* lowest urgency that the field may carry */
    dialect_read_timeout_t silence;
    const char* ready_path;
    const char* lookup_path;
    const char* lookup_hall;    /* query argument */
    const char* lookup_hosts;   /* field of the answer: list of addresses */
    const char* lookup_keep;    /* field of the answer: seconds that it may be kept */
    const char* inventory_path; /* of an engine: the parts of prompts that it keeps; NULL: engines do not tell */
    /* Reads an engine's answer there and visits each part, those used longest ago first where the engine knows.
       started_ms: the engine's start, as it says, 0: it does not. */
    cw_status_t (*read_inventory)(const char* body, size_t size, int64_t* started_ms, part_visit_t visit,
                                  void* user_data, cw_error_t* err);
} dialect_t;

/* Ms for which a caller of a stream with such a target and pause listens in vain, 0: no limit. */
static inline uint32_t dialect_read_timeout_ms(const dialect_t* dialect, uint32_t target_ms, uint32_t gap_ms) {
    const dialect_read_timeout_t* s = &dialect->silence;
    uint32_t ms = s->ms > s->targets * target_ms ? s->ms : s->targets * target_ms;
    return ms > s->gaps * gap_ms ? ms : s->gaps * gap_ms;
}

/* What a read of the source brought. */
typedef struct source_news_t {
    char* catalog; /* native document (chalkway_catalog.h), to be freed by free(); NULL: the same as before */
    int64_t mark;  /* of what was read, to be handed in with the next read */
    bool more;     /* servers: another page follows */
    char after[CW_NAME_MAX * 2]; /* servers: where the next page starts */
} source_news_t;

/* Where the configuration and the list of servers are published, over HTTP. Path functions write the path and query
   of a call; read functions turn an answer's body into native form and say what is wrong with it. */
typedef struct source_t {
    /* Header of every answer: a whole number that rises each time the source comes back from an older copy of itself,
       so that its revisions go back and are given out again. NULL, or not there: it is not known to. */
    const char* life_field;
    /* mark: of the last read, 0 none; what has not changed since need not be given again. */
    void (*catalog_path)(char* out, size_t size, int64_t mark);
    void (*servers_path)(char* out, size_t size, const char* after);
    cw_status_t (*read_catalog)(const char* body, size_t size, int64_t mark, source_news_t* news, cw_error_t* err);
    cw_status_t (*read_servers)(const char* body, size_t size, cw_servers_t* list, source_news_t* news,
                                cw_error_t* err);
    /* What changed since the list was read; NULL: the source tells only whole lists. A status other than 200 means that
       it no longer knows. */
    void (*changes_path)(char* out, size_t size, int64_t at);
    /* Puts the changes into the list, which is sorted, and moves its revision on. */
    cw_status_t (*read_changes)(const char* body, size_t size, cw_servers_t* list, cw_error_t* err);
    /* The halls that are closed; NULL: the list of servers tells them itself. CW_OK with err filled: some could not be
       read, the others hold. */
    void (*closed_path)(char* out, size_t size);
    cw_status_t (*read_closed)(const char* body, size_t size, cw_closed_t* closed, cw_error_t* err);
} source_t;

extern const dialect_t dialect_native;
extern const source_t source_native;

#endif
