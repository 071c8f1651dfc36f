#ifndef CW_GATEWAY_NEWS_PARTS_H
#define CW_GATEWAY_NEWS_PARTS_H
/*
    What the parts of the news share: news_peers.c knows who is told and sends, news_marks.c tells marks of suspect
    requests, news.c tells and takes load.
*/
#include <netinet/in.h>

#include "news.h"

#define HOSTS_MAX 1024
#define DIRTY_MAX 256
#define QUEUE_MAX 512
#define MARKS_MAX (4 * CW_LOAD_MARKS) /* that wait to be told; more are told with the next round of all */
#define FLUSH_MS 1                    /* news of what was sent waits so long, so that several share a datagram */

/* A server whose load here is to be told. */
typedef struct dirty_t {
    uint64_t server;
    uint32_t part_count;
    cw_work_part_t parts[CW_LOAD_PARTS];
} dirty_t;

/* An entry that waits to be told. */
typedef struct queued_t {
    cw_load_entry_t entry;
    bool far; /* to the other halls too */
} queued_t;

/* A mark that waits to be told. */
typedef struct told_mark_t {
    cw_mark_t mark;
    bool far;       /* to the other halls too */
    int64_t due_ms; /* 0: at once */
    int64_t at_ms;  /* when mark.age_ms was right */
} told_mark_t;

/* Another host that lives. */
typedef struct peer_t {
    const cw_member_info_t* info; /* valid while the list of peers is made */
    uint64_t id;
    bool leaving;
    struct sockaddr_in load;
} peer_t;

/* The hosts of a hall: a part of the list of peers, relays first. */
typedef struct hall_t {
    uint32_t first, count;
    uint32_t relays; /* of them */
} hall_t;

struct news_t {
    news_desc_t desc;
    uint64_t cluster;
    int fd;
    uint16_t load_port, share_port;
    const cw_members_t* members; /* NULL: none known yet */
    bool members_changed;
    uint32_t live, rank;
    cw_relay_plan_t plan;
    peer_t peers[HOSTS_MAX]; /* without this host; by hall */
    uint64_t ids[HOSTS_MAX]; /* of the same */
    uint32_t peer_count;
    hall_t own;              /* the others of the own hall */
    hall_t halls[HOSTS_MAX]; /* the other halls */
    uint32_t hall_count;
    bool is_relay;
    ev_io load_io;
    ev_timer flush_timer, direct_timer;
    uint64_t direct[DIRTY_MAX]; /* engines whose load here is to be told to their other home hosts */
    uint32_t direct_count;
    dirty_t dirty[DIRTY_MAX];
    uint32_t dirty_count;
    queued_t queue[QUEUE_MAX];
    uint32_t queue_count;
    told_mark_t marks[MARKS_MAX];
    uint32_t mark_count;
    uint32_t marks_at; /* next place of the round of all */
    int64_t marks_ms;  /* of its last part */
    int64_t flushed_ms, repeated_ms;
    int64_t tick_ms, tick_before_ms; /* the last two ticks */
    int64_t sent_ms;
    uint64_t draws;
    news_stats_t stats;
};

typedef struct datagram_t {
    uint8_t bytes[CW_LOAD_BYTES];
    size_t size;
} datagram_t;

/* -- news.c --------------------------------------------------------------- */

/* What waits is told so much later, at the latest. */
void news_flush_after(news_t* n, uint32_t ms);

/* -- news_peers.c --------------------------------------------------------- */

/* Makes the list of peers anew where members changed. */
void news_read_members(news_t* n);
/* With what this daemon itself knows of the source, whoever's load it tells. */
datagram_t news_datagram(news_t* n, cw_load_message_t* message, cw_load_scope_t scope);
void news_send(news_t* n, const peer_t* peer, const datagram_t* d);
void news_send_to_hall(news_t* n, cw_load_message_t* message);
/* To one host of each other hall, which passes it on there: few bytes between halls. */
void news_send_to_other_halls(news_t* n, cw_load_message_t* message);
/* To a relay of the own hall, which passes it on to all. */
void news_send_to_relay(news_t* n, cw_load_message_t* message);

/* -- news_marks.c --------------------------------------------------------- */

/* Sends the marks that are due. */
void news_tell_marks(news_t* n);
/* Marks of a datagram that has come; waited_ms: longest time for which it may have been under way. */
void news_take_marks(news_t* n, const cw_load_message_t* message, uint32_t waited_ms);
/* The first ranks tell all that counts again and again, a part at a time. */
void news_repeat_marks(news_t* n, int64_t now_ms);
/* All that counts at once, for a host that has just come. */
void news_tell_all_marks(news_t* n);

#endif
