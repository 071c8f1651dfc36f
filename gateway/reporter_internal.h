#ifndef CW_GATEWAY_REPORTER_INTERNAL_H
#define CW_GATEWAY_REPORTER_INTERNAL_H
/*
    Shared by the source files of reporter.h: reporter_peers.c chooses the receivers and sends datagrams,
   reporter_observations.c sends and receives the observations about suspect requests, reporter_streams.c the versions
   of streams, reporter.c sends and receives load.
*/
#include <netinet/in.h>

#include "reporter.h"

#define HOSTS_MAX 1024
#define DIRTY_MAX 256
#define QUEUE_MAX 512
#define OBSERVATION_QUEUE_MAX (12 * CW_LOAD_OBSERVATIONS) /* further observations are sent with the next repetition */
#define MS_PER_S 1000.0
#define REPORTER_STALL_MS 100 /* a longer delay means that this process stalled and datagrams waited in its socket */
#define STREAM_QUEUE_MAX 2048 /* further records are not announced; hosts query them */

/* A server whose load at this host changed and is not reported yet. */
typedef struct dirty_t {
    uint64_t server;
    uint32_t part_count;
    cw_prompt_part_t parts[CW_LOAD_PARTS];
} dirty_t;

/* An entry that waits to be sent. */
typedef struct queued_entry_t {
    cw_load_entry_t entry;
    bool to_other_halls; /* as well as to the own hall */
} queued_entry_t;

/* An observation that waits to be sent. */
typedef struct pending_observation_t {
    cw_quarantine_observation_t observation;
    bool to_other_halls; /* as well as to the own hall */
    int64_t due_ms;      /* 0: at once */
    int64_t stamped_ms;  /* time at which observation.age_ms was valid */
} pending_observation_t;

/* The version of a stream that waits to be announced. */
typedef struct pending_stream_t {
    cw_stream_record_t record;
    bool to_other_halls; /* as well as to the own hall */
    int64_t due_ms;      /* 0: at once */
} pending_stream_t;

/* Another host that is alive. */
typedef struct peer_t {
    const cw_member_info_t* info; /* valid only while reporter_refresh_peers runs */
    uint64_t id;
    bool is_leaving;
    struct sockaddr_in load; /* its load address */
} peer_t;

/* The hosts of a hall, as a range of the list of peers; relays come first. */
typedef struct hall_range_t {
    uint32_t first, count;
    uint32_t relays; /* hosts of the range that are relays */
} hall_range_t;

struct reporter_t {
    reporter_desc_t desc;
    uint64_t cluster;
    int fd;
    uint16_t load_port, share_port;
    const cw_members_t* members; /* NULL: not known yet */
    bool has_membership_changed;
    uint32_t live, rank;
    uint32_t older_hosts; /* number of live hosts that started before this one */
    cw_relay_plan_t plan;
    peer_t peers[HOSTS_MAX]; /* without this host; sorted by hall, then by rank as a relay */
    uint64_t ids[HOSTS_MAX]; /* of peers, in the same order */
    uint32_t peer_count;
    hall_range_t own_hall; /* without this host */
    hall_range_t other_halls[HOSTS_MAX];
    uint32_t other_hall_count;
    bool is_relay;
    ev_io load_io;
    ev_timer flush_timer, direct_timer;
    uint64_t direct_servers[DIRTY_MAX]; /* engines whose load is to be reported to their other owner hosts */
    uint32_t direct_count;
    dirty_t dirty[DIRTY_MAX];
    uint32_t dirty_count;
    queued_entry_t queue[QUEUE_MAX];
    uint32_t queue_count;
    pending_observation_t pending[OBSERVATION_QUEUE_MAX];
    uint32_t pending_count;
    pending_stream_t streams[STREAM_QUEUE_MAX];
    uint32_t stream_count;
    cw_stream_message_t inquiries; /* that wait to be sent */
    ev_timer inquiry_timer;
    uint32_t next_observation;        /* index at which the next repetition continues */
    int64_t observations_repeated_ms; /* time of the last repetition */
    int64_t flushed_ms, repeated_ms;
    int64_t tick_ms, previous_tick_ms; /* times of the last two ticks */
    int64_t resumed_ms;                /* first tick after the last stall of this process, 0: none */
    int64_t stall_ms;                  /* time between that tick and the one before it */
    int64_t sent_ms;                   /* time of the last report or heartbeat */
    uint64_t random_count;             /* random numbers drawn so far */
    reporter_stats_t stats;
};

typedef struct datagram_t {
    uint8_t bytes[CW_LOAD_BYTES];
    size_t size;
} datagram_t;

/* -- reporter.c --------------------------------------------------------------- */

/* Schedules a flush of what is pending, unless one is scheduled already. */
void reporter_flush_after(reporter_t* n, uint32_t ms);
/* Sends the servers that this host knows to be leaving, for a host that has started. */
void reporter_send_leaving_to(reporter_t* n, const peer_t* peer);

/* -- reporter_peers.c --------------------------------------------------------- */

/* Rebuilds the list of peers if the membership changed. */
void reporter_refresh_peers(reporter_t* n);
/* Encodes the message. It carries the source state of this daemon, also where its entries are other hosts'. */
datagram_t reporter_encode(reporter_t* n, cw_load_message_t* message, cw_load_scope_t scope);
void reporter_send(reporter_t* n, const peer_t* peer, const datagram_t* d);
/* The relay of the hall that receives this host's datagram. */
const peer_t* reporter_choose_relay(reporter_t* n, const hall_range_t* hall);
void reporter_send_to_hall(reporter_t* n, cw_load_message_t* message);
/* Sends to one host of each other hall, which forwards to the rest of its hall: traffic between halls stays low. */
void reporter_send_to_other_halls(reporter_t* n, cw_load_message_t* message);
/* Sends to a relay of the own hall, which forwards to all hosts. */
void reporter_send_to_relay(reporter_t* n, cw_load_message_t* message);

/* -- reporter_streams.c --------------------------------------------------------------- */

/* Sends the records that are due. */
void reporter_send_streams(reporter_t* n);
/* The datagram of a message about streams from this host. */
datagram_t reporter_encode_streams(const reporter_t* n, cw_stream_message_t* message);
/* Handles a datagram about streams. False: it is none. */
bool reporter_receive_streams(reporter_t* n, const uint8_t* bytes, size_t size, const struct sockaddr_in* from);

/* -- reporter_inquiries.c ------------------------------------------------------------- */

void reporter_setup_inquiries(reporter_t* n);
void reporter_shutdown_inquiries(reporter_t* n);
void reporter_reply_inquiries(reporter_t* n, const cw_stream_message_t* inquiries, const struct sockaddr_in* to);
void reporter_receive_evidence(reporter_t* n, const cw_stream_message_t* evidence);

/* -- reporter_observations.c --------------------------------------------------------- */

/* Sends the observations that are due. */
void reporter_send_observations(reporter_t* n);
/* Handles the observations of a received datagram. delay_ms: upper bound of its age. */
void reporter_receive_observations(reporter_t* n, const cw_load_message_t* message, uint32_t delay_ms);
/* On the hosts that have run longest: queues the next part of all valid observations, once an interval. */
void reporter_repeat_observations(reporter_t* n, int64_t now_ms);
/* Sends all valid observations at once, for a host that just joined. */
void reporter_resend_observations(reporter_t* n);
/* Sends all valid observations to one host that has started. */
void reporter_send_observations_to(reporter_t* n, const peer_t* peer);

#endif
