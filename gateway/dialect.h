#ifndef CW_GATEWAY_DIALECT_H
#define CW_GATEWAY_DIALECT_H
/*
    The names that requests, responses, host lookups and the configuration source use on the wire. A dialect only maps
    names; all decisions are the gateway's. dialect_native is chalkway's own. A program that uses another dialect
    passes it to gateway_main.
*/
#include "../chalkway_balance.h"
#include "../chalkway_servers.h"

/* Names of header fields. NULL: the dialect has no such field. */
typedef struct dialect_fields_t {
    const char* request_id;   /* id of one attempt of a caller; a response repeats it */
    const char* deadline_ms;  /* how long the caller, or the gateway, will wait */
    const char* key;          /* the workspace's access key; never forwarded */
    const char* key_scheme;   /* authentication scheme before the key */
    const char* workspace;    /* set by the gateway: name of the key's workspace */
    const char* server;       /* set by the gateway: id of the intended server */
    const char* server_id;    /* in a response: id of the server that sent it */
    const char* not_run;      /* in a response: the server did not run the request */
    const char* signature;    /* in a response: proves that the server sent it */
    const char* priority;     /* set by the gateway: 0 is the most urgent */
    const char* last_event;   /* id of the event after which a stream resumes */
    const char* resumes;      /* with last_event: id of the caller's attempt that brought the stream's first event */
    const char* retry_after;  /* in seconds, fractions allowed */
    const char* leaving;      /* in a response, "1": the server is leaving */
    const char* limit;        /* in a response: requests per second that the server accepts from all hosts together */
    const char* reject_limit; /* in a response: rejections per second, of all hosts together, beyond which it fails */
    const char* tokens;       /* "IN,OUT": prompt and output tokens of a generation */
    const char* parts;        /* "ID:TOKENS,...": parts of the prompt, IDs in hex */
    const char* fetch_from;   /* set by the gateway: IP:PORT of an engine with more of the prompt in its cache */
    const char* const* reserved; /* further fields that only the gateway may set, ends with NULL */
} dialect_fields_t;

typedef void (*part_visitor_t)(void* user_data, const cw_prompt_part_t* part);
/* request_id: of the attempt; events: of its stream, that the engine has sent so far. */
typedef void (*run_visitor_t)(void* user_data, const char* request_id, uint32_t events);

/* How long a caller of a stream waits for the next event, or the first one, before it gives up: the longest of these.
   All 0: until its deadline. */
typedef struct dialect_read_timeout_t {
    uint32_t ms;
    uint32_t targets; /* multiples of the route's target */
    uint32_t gaps;    /* multiples of the longest gap between events that the route allows */
} dialect_read_timeout_t;

typedef struct dialect_t {
    const char* name;
    dialect_fields_t fields;
    unsigned misdirected_status; /* response status: the request was meant for another server and did not run */
    unsigned priority_max;       /* highest value of the priority field, the least urgent */
    dialect_read_timeout_t read_timeout;
    const char* ready_path;
    const char* lookup_path;
    const char* lookup_hall;    /* query argument: hall */
    const char* lookup_hosts;   /* response field: list of host addresses */
    const char* lookup_max_age; /* response field: seconds for which the response may be cached */
    const char* inventory_path; /* engine's list of its cached prompt parts; NULL: engines have none */
    /* Reads the response of inventory_path and visits each part, the least recently used first if the engine knows
       that. started_ms: start time that the engine reports; 0: none. */
    cw_status_t (*read_inventory)(const char* body, size_t size, int64_t* started_ms, part_visitor_t visit,
                                  void* user_data, cw_error_t* err);
    const char* runs_path; /* engine's list of the requests that it runs; NULL: engines have none */
    /* Reads the response of runs_path and visits each run that has sent events. started_ms: as of read_inventory. */
    cw_status_t (*read_runs)(const char* body, size_t size, int64_t* started_ms, run_visitor_t visit, void* user_data,
                             cw_error_t* err);
} dialect_t;

/* The read timeout in ms of a stream's caller for a route with this target and longest gap. 0: none. */
static inline uint32_t dialect_read_timeout_ms(const dialect_t* dialect, uint32_t target_ms, uint32_t gap_ms) {
    const dialect_read_timeout_t* s = &dialect->read_timeout;
    uint32_t ms = s->ms > s->targets * target_ms ? s->ms : s->targets * target_ms;
    return ms > s->gaps * gap_ms ? ms : s->gaps * gap_ms;
}

#define SOURCE_KEY_MAX 256   /* of an entry, with its terminating zero */
#define SOURCE_PATH_MAX 1024 /* of a call, with room for an encoded key */

/* What one read of the source returned. */
typedef struct source_update_t {
    char* catalog;              /* native document (chalkway_catalog.h), to be freed by free(); NULL: unchanged */
    int64_t version;            /* identifies the version that was read; passed to the next read */
    bool has_more;              /* servers: there is another page */
    char after[SOURCE_KEY_MAX]; /* servers: key after which the next page starts */
} source_update_t;

/* What the source remembers of the servers that it has listed. */
typedef struct source_history_t {
    cw_servers_t entries; /* as servers have written them, each time */
    int64_t at;           /* revision that the history reaches up to */
    bool is_complete;     /* no entry is missing since the source began */
    bool has_unnamed;     /* an entry has gone that is not among the entries */
} source_history_t;

/* What a history shows. */
typedef enum source_coverage_t {
    SOURCE_HISTORY_NONE = 0,
    SOURCE_HISTORY_RETAINED, /* all entries that have gone for as long as the source remembers */
    SOURCE_HISTORY_COMPLETE  /* each entry since the source began */
} source_coverage_t;

/* How to read the configuration and the server list over HTTP. A path function writes the path and query of a call. A
   read function converts the response body to native form or reports what is wrong with it. */
typedef struct source_t {
    /* Response header with the epoch of the source: an integer that increases each time the source is restored from an
       older copy of itself, after which revisions go back and are assigned again. NULL or not present: such restores
       can't be detected. */
    const char* epoch_field;
    /* version: of the last read, 0: none. The source may leave out what has not changed since that version. */
    void (*catalog_path)(char* out, size_t size, int64_t version);
    void (*servers_path)(char* out, size_t size, const char* after);
    cw_status_t (*read_catalog)(const char* body, size_t size, int64_t version, source_update_t* update,
                                cw_error_t* err);
    cw_status_t (*read_servers)(const char* body, size_t size, cw_servers_t* list, source_update_t* update,
                                cw_error_t* err);
    /* Path of the changes since revision at. NULL: the source serves only full lists. A status other than 200 means
       that it no longer has these changes. */
    void (*changes_path)(char* out, size_t size, int64_t at);
    /* Applies the changes to the sorted list and updates its revision. */
    cw_status_t (*read_changes)(const char* body, size_t size, cw_servers_t* list, cw_error_t* err);
    /* Path of the closed halls. NULL: the server list contains them. read_closed returns CW_OK with err set if it could
       read only some of them; these are valid. */
    void (*closed_path)(char* out, size_t size);
    cw_status_t (*read_closed)(const char* body, size_t size, cw_closed_halls_t* closed, cw_error_t* err);
    /* Path of the history of the servers after a revision, 0: from its beginning. False: the source serves only that
       from its beginning. NULL: there is none. Status 410 means that the source has forgotten a part of it.
       read_history replaces history, whose entries are to be freed by cw_servers_free. */
    bool (*history_path)(char* out, size_t size, int64_t after);
    cw_status_t (*read_history)(const char* body, size_t size, source_history_t* history, cw_error_t* err);
} source_t;

extern const dialect_t dialect_native;
extern const source_t source_native;

#endif
